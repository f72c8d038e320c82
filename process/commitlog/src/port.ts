import type { LogRecord } from '#connection/wire'
import type { Position } from '#request/program'

/// The durable log of one entry incarnation.
export interface CommitLog {
  readonly logId: string
  /// Commits the records together, in the order of the calls, and resolves
  /// with their place once the store has them. Rejects with `SealedError` when
  /// a successor has ended this log: nothing of it will ever be committed.
  /// While the store is down it keeps trying.
  append (records: readonly LogRecord[]): Promise<Position>
  /// Whether the store took a write lately. False means that an append now
  /// may wait for an outage to end.
  readonly healthy: boolean
}

/// A successor ended the log, so this incarnation owns nothing any more.
export class SealedError extends Error {
  override readonly name = 'SealedError'

  constructor (readonly logId: string) {
    super(`the commit log ${logId} was sealed by a successor`)
  }
}
