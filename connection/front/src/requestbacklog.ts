/// A connection on which requests wait that have been read.
export interface BackloggedConnection {
  /// Closes it, without a response to those that wait.
  closeBacklogged (): void
}

/// What a waiting request takes without its fields, and what each of its names and values takes, in bytes of memory.
const requestBytes = 8 * 1024
const textBytes = 50

/// Returns how much memory a request takes while it waits, by what its head consists of.
export function estimateRequestBytes (rawHeaders: readonly string[]): number {
  return requestBytes + textBytes * rawHeaders.length
}

/// Bounds the requests that were read and wait on all connections of one or more servers. What is read in one piece may
/// hold thousands of the shortest requests, so that many callers who pipeline them would use up the memory.
export class RequestBacklog {
  private readonly bytesByConnection = new Map<BackloggedConnection, number>()
  private totalBytes = 0

  constructor (private readonly maxBytes: number) {}

  get bytes (): number {
    return this.totalBytes
  }

  /// Counts a request that waits. With too many, the connection with the most is closed.
  add (connection: BackloggedConnection, bytes: number): void {
    this.change(connection, bytes)
    if (this.totalBytes <= this.maxBytes) return
    const largest = this.findLargest()
    this.removeAll(largest)
    largest.closeBacklogged()
  }

  /// Takes a request off that waits no more.
  remove (connection: BackloggedConnection, bytes: number): void {
    if (this.bytesByConnection.has(connection)) this.change(connection, -bytes)
  }

  /// Takes all requests of a connection off.
  removeAll (connection: BackloggedConnection): void {
    this.totalBytes -= this.bytesByConnection.get(connection) ?? 0
    this.bytesByConnection.delete(connection)
  }

  private change (connection: BackloggedConnection, bytes: number): void {
    const sum = (this.bytesByConnection.get(connection) ?? 0) + bytes
    this.totalBytes += bytes
    if (sum > 0) this.bytesByConnection.set(connection, sum)
    else this.bytesByConnection.delete(connection)
  }

  private findLargest (): BackloggedConnection {
    let largest: BackloggedConnection | null = null
    let largestBytes = 0
    for (const [connection, bytes] of this.bytesByConnection) {
      if (bytes <= largestBytes) continue
      largest = connection
      largestBytes = bytes
    }
    return largest!
  }
}
