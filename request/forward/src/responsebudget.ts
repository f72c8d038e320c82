/// Of all responses together.
const maxBytes = 32 * 1024 * 1024
/// Not counted of each response, so that ordinary responses go on while large ones use up the budget.
const freeBytesPerResponse = 64 * 1024
/// Of a chunk in memory, beside its bytes. A chunk may have a single byte.
const chunkOverheadBytes = 128

/// Limits the memory that all responses of upstream instances take together while they are received.
export class ResponseBudget {
  private usedBytes = 0

  /// Returns the share of one response.
  open (): ResponseShare {
    return new ResponseShare(bytes => {
      if (this.usedBytes + bytes > maxBytes) return false
      this.usedBytes += bytes
      return true
    })
  }
}

/// What one response has received, and takes of the budget.
export class ResponseShare {
  private receivedBytes = 0
  private countedBytes = 0

  /// `count` adds to the budget's used bytes, which fails if there are too many.
  constructor (private readonly count: (bytes: number) => boolean) {}

  /// Returns false if the response must not get larger. It has to be closed then.
  add (chunk: Buffer): boolean {
    this.receivedBytes += chunk.length + chunkOverheadBytes
    const missingBytes = Math.max(0, this.receivedBytes - freeBytesPerResponse) - this.countedBytes
    if (missingBytes > 0 && !this.count(missingBytes)) return false
    this.countedBytes += Math.max(0, missingBytes)
    return true
  }

  close (): void {
    this.count(-this.countedBytes)
    this.countedBytes = 0
  }
}
