import type { Socket } from 'node:net'
import type { MemoryShare } from '#process/memory'
import type { OtherEntry } from './directory.js'
import type { RelayOrigin } from './origin.js'
import type { RequestReader } from './requesttracker.js'

/// A request without a complete response of the other entry, whose connection ends.
export interface UnansweredRequest {
  /// Null if it has none, or the request has not been passed on.
  readonly callId: string | null
  /// Whether all of the request has been passed on.
  readonly isWhole: boolean
  /// What the caller has sent behind it, and is dropped.
  readonly heldBytes: number
  readonly reason: string
  /// Of the response that the caller gets instead; absent if it gets none.
  readonly status?: number
}

export interface RelayedConnectionOptions {
  readonly caller: Socket
  readonly entry: OtherEntry
  readonly origin: RelayOrigin
  readonly reader: RequestReader
  /// Called for each chunk that is passed on, either way.
  readonly onChunk: () => void
  /// Called if the other entry can't be reached or doesn't take the connection; nothing of the caller's bytes has been
  /// read then.
  readonly onUnreachable: (reason: string) => void
  /// Called if the connection is to be served here: it was drained, and the other entry hasn't taken it yet or has
  /// answered all that it was sent. What the caller has sent since can be read from the connection. `wasUsed`: that may
  /// have arrived long after the connection was opened.
  readonly onReturned: (wasUsed: boolean) => void
  /// Called if the other entry is silent beyond the deadline of a request.
  readonly onOverdue: () => void
  /// Called before `onEnd`.
  readonly onUnanswered: (request: UnansweredRequest) => void
  /// For what waits to be read by the caller or the other entry; null for no limit.
  readonly memory?: MemoryShare | null
  /// Called if there is no memory for that, before the connection is broken off.
  readonly onCut?: () => void
  /// How long at least a connection is kept that no request comes on.
  readonly idleTimeoutMs: number
  /// Called when the connection has ended, with the reason if it broke.
  readonly onEnd: (reason: string | null) => void
}
