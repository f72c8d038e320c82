/// Limits the memory that the messages of one kind take together while they are received, held or sent.
export class MemoryBudget {
  private heldBytes = 0

  /// `freeBytesPerMessage` of each message are not counted, so that ordinary ones go on while large ones use up the
  /// budget.
  constructor (private readonly maxBytes: number, private readonly freeBytesPerMessage: number) {}

  /// The bytes that are held now, without the free ones.
  get usedBytes (): number {
    return this.heldBytes
  }

  /// Returns the share of one message.
  open (): MemoryShare {
    return new MemoryShare(this.freeBytesPerMessage, bytes => {
      if (bytes > 0 && this.heldBytes + bytes > this.maxBytes) return false
      this.heldBytes += bytes
      return true
    })
  }
}

/// What one message takes of a budget.
export class MemoryShare {
  private bytes = 0
  private countedBytes = 0

  /// `count` adds to the budget's used bytes, which fails if there are too many.
  constructor (private readonly freeBytes: number, private readonly count: (bytes: number) => boolean) {}

  /// Returns false if the message must not get larger. What it has taken stays counted.
  add (bytes: number): boolean {
    return this.set(this.bytes + bytes)
  }

  /// As `add`, for a message that takes so many bytes now.
  set (bytes: number): boolean {
    const countedBytes = Math.max(0, bytes - this.freeBytes)
    if (!this.count(countedBytes - this.countedBytes)) return false
    this.bytes = bytes
    this.countedBytes = countedBytes
    return true
  }

  close (): void {
    this.set(0)
  }
}
