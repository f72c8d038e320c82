const megabyte = 1024 * 1024

/// How an entry divides its memory, in bytes.
export interface MemoryPlan {
  /// Bodies of requests, and the prompts that are made of them.
  readonly requestBytes: number
  /// Responses, until their callers have read them.
  readonly responseBytes: number
  /// Turns that are cached.
  readonly cacheBytes: number
}

/// What the process takes without any message: its code, connections and tables.
const baseBytes = 80 * megabyte
/// Of the rest. Half of it stays free for what has been read and dropped, which V8 collects late.
const requestShare = 0.15
const responseShare = 0.15
const cacheShare = 0.15
/// More isn't needed, however large the machine is.
const maxRequestBytes = 64 * megabyte
const maxResponseBytes = 32 * megabyte
const maxCacheBytes = 24 * megabyte
/// For machines that are smaller than the process itself, so that it still serves ordinary calls.
const minRestBytes = 16 * megabyte

/// Divides the memory of a machine; `memoryMb` is null if it has no limit.
export function planMemory (memoryMb: number | null): MemoryPlan {
  const restBytes = memoryMb === null ? Infinity : Math.max(minRestBytes, memoryMb * megabyte - baseBytes)
  return {
    requestBytes: Math.min(maxRequestBytes, restBytes * requestShare),
    responseBytes: Math.min(maxResponseBytes, restBytes * responseShare),
    cacheBytes: Math.min(maxCacheBytes, restBytes * cacheShare)
  }
}
