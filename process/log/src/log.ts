import type { Timestamp } from '#connection/wire'
import type { EventKind } from './catalogue.js'

/// What an event is about, besides its kind.
export interface EventFields {
  readonly programId?: string
  readonly sequence?: number
  readonly configVersion?: number
  readonly error?: unknown
  readonly [detail: string]: unknown
}

/// Where numbered events go: the process's log and the ring that time lines
/// are drawn from.
export interface EventLog {
  event (kind: EventKind, fields?: EventFields): void
  /// The hybrid logical time to send with a message.
  now (): Timestamp
  /// Moves the clock past the time that came with a message.
  observe (time: Timestamp | undefined): void
}

/// An event log that keeps nothing, for tests.
export const silentLog: EventLog = {
  event: () => {},
  now: () => ({ wallMs: 0, logical: 0 }),
  observe: () => {}
}
