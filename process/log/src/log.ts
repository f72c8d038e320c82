import { pino } from 'pino'
import { Events } from './catalogue.js'
import type { EventKind } from './catalogue.js'

/// What an event is about, besides its kind.
export interface EventFields {
  readonly callId?: string
  readonly programId?: string | undefined
  readonly [detail: string]: unknown
}

/// Where numbered events go.
export interface EventLog {
  event (kind: EventKind, fields?: EventFields): void
}

/// An event log that keeps nothing, for tests.
export const noopLog: EventLog = { event: () => {} }

interface Budget {
  lines: number
  dropped: number
}

const windowMs = 1000
const bufferBytes = 256 * 1024
/// Lines gather up to this size or time before they are written.
const writeBytes = 8 * 1024
const writeEveryMs = 250

/// Writes events as JSON lines to standard output. Each kind has a number of
/// lines a second; what goes beyond it is counted and told once the second is
/// over. Output that isn't read is dropped past a bounded buffer.
export class ProcessLog implements EventLog {
  private readonly budgets = new Map<EventKind, Budget>()
  private readonly output: ReturnType<typeof pino.destination>
  private readonly logger: ReturnType<typeof pino>
  private windowEndMs = 0

  constructor (node: string, role: string) {
    this.output = pino.destination({
      fd: 1,
      sync: false,
      minLength: writeBytes,
      periodicFlush: writeEveryMs,
      maxLength: bufferBytes
    })
    this.logger = pino({ base: { node, role } }, this.output)
  }

  event (kind: EventKind, fields: EventFields = {}): void {
    const nowMs = performance.now()
    if (nowMs >= this.windowEndMs) this.startWindow(nowMs)
    const budget = this.budgetOf(kind)
    if (budget.lines >= kind.maxLinesPerSecond) {
      budget.dropped++
      return
    }
    budget.lines++
    this.write(kind, fields)
  }

  /// Writes what is still buffered.
  flush (): void {
    try {
      this.output.flushSync()
    } catch {
      // Standard output that was closed takes no more lines, and there is nowhere else to say so.
    }
  }

  private startWindow (nowMs: number): void {
    this.windowEndMs = nowMs + windowMs
    for (const [kind, budget] of this.budgets) {
      if (budget.dropped > 0) this.write(Events.linesDropped, { dropped: budget.dropped, of: kind.name })
      budget.lines = 0
      budget.dropped = 0
    }
  }

  private budgetOf (kind: EventKind): Budget {
    let budget = this.budgets.get(kind)
    if (budget === undefined) this.budgets.set(kind, budget = { lines: 0, dropped: 0 })
    return budget
  }

  private write (kind: EventKind, fields: EventFields): void {
    this.logger[kind.level]({ event: kind.number, ...fields }, kind.name)
  }
}

/// The message of anything thrown, with the kind of error, for a log line.
export function formatError (error: unknown): string {
  return error instanceof Error ? `${error.name}: ${error.message}` : String(error)
}

/// The message alone, where a reason or an error of another kind takes it up.
export function errorMessage (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
