import { pino } from 'pino'
import { Events } from './catalogue.js'
import type { EventKind } from './catalogue.js'

/// The fields of an event's log line.
export interface EventFields {
  readonly callId?: string
  readonly programId?: string | undefined
  readonly [detail: string]: unknown
}

/// Receives events.
export interface EventLog {
  event (kind: EventKind, fields?: EventFields): void
}

/// Discards all events, for tests and the emulator.
export const noopLog: EventLog = { event: () => {} }

/// The lines of one kind of event in the current window.
interface RateWindow {
  written: number
  dropped: number
}

const rateWindowMs = 1000
const maxBufferBytes = 256 * 1024
/// Lines are buffered until they reach this size or the flush interval has passed.
const minWriteBytes = 8 * 1024
const flushIntervalMs = 250

/// Writes events as JSON lines to standard output. Each kind is limited to a number of lines per second; excess lines
/// are dropped, and their count is logged before the first event after that second. If standard output is not read,
/// lines that exceed a bounded buffer are dropped.
export class ProcessLog implements EventLog {
  private readonly rateWindows = new Map<EventKind, RateWindow>()
  private readonly output: ReturnType<typeof pino.destination>
  private readonly logger: ReturnType<typeof pino>
  private windowEndMs = 0

  constructor (node: string, role: string) {
    this.output = pino.destination({
      fd: 1,
      sync: false,
      minLength: minWriteBytes,
      periodicFlush: flushIntervalMs,
      maxLength: maxBufferBytes
    })
    this.logger = pino({ base: { node, role } }, this.output)
  }

  event (kind: EventKind, fields: EventFields = {}): void {
    const nowMs = performance.now()
    if (nowMs >= this.windowEndMs) this.startRateWindows(nowMs)
    const rateWindow = this.getRateWindow(kind)
    if (rateWindow.written >= kind.maxLinesPerSecond) {
      rateWindow.dropped++
      return
    }
    rateWindow.written++
    this.write(kind, fields)
  }

  /// Writes the buffered lines synchronously.
  flush (): void {
    try {
      this.output.flushSync()
    } catch {
      // Standard output is closed, and there is no other place to report that.
    }
  }

  private startRateWindows (nowMs: number): void {
    this.windowEndMs = nowMs + rateWindowMs
    for (const [kind, rateWindow] of this.rateWindows) {
      if (rateWindow.dropped > 0) this.write(Events.linesDropped, { dropped: rateWindow.dropped, of: kind.name })
      rateWindow.written = 0
      rateWindow.dropped = 0
    }
  }

  private getRateWindow (kind: EventKind): RateWindow {
    let rateWindow = this.rateWindows.get(kind)
    if (rateWindow === undefined) this.rateWindows.set(kind, rateWindow = { written: 0, dropped: 0 })
    return rateWindow
  }

  private write (kind: EventKind, fields: EventFields): void {
    this.logger[kind.level]({ event: kind.number, ...fields }, kind.name)
  }
}

/// Formats any thrown value for a log line: the name and message of an error.
export function formatError (error: unknown): string {
  return error instanceof Error ? `${error.name}: ${error.message}` : String(error)
}

/// Returns the message of any thrown value without the error's name, to be embedded in a reason or another error.
export function errorMessage (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
