import type { Socket } from 'node:net'
import { callAfterReading } from '#process/clock'
import type { RequestTracker } from './requesttracker.js'
import { onTick } from './ticks.js'

/// The other entry ends a request at its deadline, and its word of that needs a moment.
const marginMs = 200

/// The two ends of a relayed connection, and the request under way.
export interface WatchedRequests {
  readonly caller: Socket
  readonly peer: Socket
  readonly requests: RequestTracker
  /// Whether a request is under way.
  readonly isUnderWay: () => boolean
}

/// Calls `onOverdue` when the other entry has sent nothing more of a response after the deadline of its request, though
/// the caller has read all that came. Returns a function that ends the watch.
export function watchOverdue (watched: WatchedRequests, onOverdue: () => void): () => void {
  const { caller, peer, requests, isUnderWay } = watched
  let bytesBefore = -1
  let progressAtMs = 0
  const isOverdue = (): boolean => {
    if (!isUnderWay()) return false
    if (peer.bytesRead !== bytesBefore || caller.writableLength > 0) {
      bytesBefore = peer.bytesRead
      progressAtMs = performance.now()
      return false
    }
    return performance.now() >= Math.max(requests.deadlineMs, progressAtMs) + marginMs
  }
  return onTick(() => {
    // A response may have arrived while this process was busy.
    if (isOverdue()) callAfterReading(() => { if (isOverdue()) onOverdue() })
  })
}
