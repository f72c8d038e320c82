const megabyte = 1024 * 1024

/// How an entry divides its memory, in bytes.
export interface MemoryPlan {
  /// Bodies of requests and short histories.
  readonly requestBytes: number
  /// The same and long histories.
  readonly allRequestsBytes: number
  /// Responses, until their callers have read them.
  readonly responseBytes: number
  /// What the free bytes of the messages of each of these two kinds take together, at most, beside that.
  readonly freeBytes: number
  /// Requests that were read and wait behind others of their connections.
  readonly backlogBytes: number
  /// Turns that are cached.
  readonly cacheBytes: number
}

/// What the process takes without any message: its code, connections and tables.
const baseBytes = 80 * megabyte
/// Of the rest. Half of it stays free for what has been read and dropped, which V8 collects late.
const requestShare = 0.15
const allRequestsShare = 0.3
const responseShare = 0.15
const cacheShare = 0.15
const freeShare = 0.05
const backlogShare = 0.1
const maxBacklogBytes = 64 * megabyte
/// More isn't needed, however large the machine is.
const maxRequestBytes = 64 * megabyte
const maxResponseBytes = 32 * megabyte
const maxCacheBytes = 24 * megabyte
/// For machines that are smaller than the process itself, so that it still serves ordinary calls.
const minRestBytes = 16 * megabyte

/// Divides the memory of a machine; `memoryMb` is null if it has no limit.
export function planMemory (memoryMb: number | null): MemoryPlan {
  const restBytes = getRestBytes(memoryMb)
  return {
    requestBytes: Math.min(maxRequestBytes, restBytes * requestShare),
    allRequestsBytes: Math.min(maxRequestBytes, restBytes * allRequestsShare),
    responseBytes: Math.min(maxResponseBytes, restBytes * responseShare),
    freeBytes: restBytes * freeShare,
    backlogBytes: Math.min(maxBacklogBytes, restBytes * backlogShare),
    cacheBytes: Math.min(maxCacheBytes, restBytes * cacheShare)
  }
}

/// How a storage instance divides its memory, in bytes.
export interface StorageMemoryPlan {
  /// The index of the records.
  readonly indexBytes: number
  /// Records that are not on the disk yet.
  readonly unwrittenBytes: number
}

/// Of the rest of a storage instance's memory. What is left is for requests, replies and what V8 collects late.
const indexShare = 0.35
const unwrittenShare = 0.2

/// Divides the memory of a storage instance; `memoryMb` is null if it has no limit.
export function planStorageMemory (memoryMb: number | null): StorageMemoryPlan {
  const restBytes = getRestBytes(memoryMb)
  return { indexBytes: restBytes * indexShare, unwrittenBytes: restBytes * unwrittenShare }
}

/// What is left beside the process itself.
function getRestBytes (memoryMb: number | null): number {
  return memoryMb === null ? Infinity : Math.max(minRestBytes, memoryMb * megabyte - baseBytes)
}

/// How many connections an entry accepts.
export interface ConnectionPlan {
  readonly callers: number
  /// Connections that other entries relay here.
  readonly relayed: number
}

/// Each connection may lead to one more, to an instance or another entry; what is left is for storage and files.
const callersDescriptorShare = 1 / 4
const relayedDescriptorShare = 1 / 12
/// What a connection takes with a head of the largest size, and what of the rest of the memory they take together.
const connectionBytes = 32 * 1024
const connectionShare = 0.15
const minConnections = 16
const maxConnections = 10_000

/// Divides the descriptors and the memory of a machine among connections; each is null if it has no limit.
export function planConnections (memoryMb: number | null, descriptors: number | null): ConnectionPlan {
  const restBytes = getRestBytes(memoryMb)
  const fitting = Math.min(maxConnections, restBytes * connectionShare / connectionBytes)
  const count = (share: number): number => {
    return Math.max(minConnections, Math.floor(Math.min(fitting, (descriptors ?? Infinity) * share)))
  }
  return { callers: count(callersDescriptorShare), relayed: count(relayedDescriptorShare) }
}
