import { pino } from 'pino'
import { Events } from './catalogue.js'
import type { EventKind } from './catalogue.js'
import { LineOutput } from './lineoutput.js'

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

/// Writes events as JSON lines to standard output. Each kind is limited to a number of lines per second; excess lines
/// are dropped, and their count is logged before the first event after that second. So is the count of those that
/// standard output didn't take; no event waits for it.
export class ProcessLog implements EventLog {
  private readonly rateWindows = new Map<EventKind, RateWindow>()
  private readonly output = new LineOutput()
  private readonly logger: ReturnType<typeof pino>
  private windowEndMs = 0
  private reportedDroppedLines = 0

  constructor (node: string, role: string) {
    this.logger = pino({ base: { node, role } }, this.output)
    process.once('exit', () => this.flush())
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

  /// Writes the buffered lines as far as standard output takes them now.
  flush (): void {
    this.output.flush()
  }

  private startRateWindows (nowMs: number): void {
    this.windowEndMs = nowMs + rateWindowMs
    this.reportDroppedLines()
    for (const [kind, rateWindow] of this.rateWindows) {
      if (rateWindow.dropped > 0) this.write(Events.linesDropped, { dropped: rateWindow.dropped, of: kind.name })
      rateWindow.written = 0
      rateWindow.dropped = 0
    }
  }

  private reportDroppedLines (): void {
    const { droppedLines } = this.output
    if (droppedLines === this.reportedDroppedLines) return
    this.reportedDroppedLines = droppedLines
    this.write(Events.linesDropped, { dropped: droppedLines, of: 'output' })
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
