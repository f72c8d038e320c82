/// Limits the memory that the messages of one kind take together while they are received, held or sent.
export class MemoryBudget {
  /// Beyond the free bytes of each message.
  private heldBytes = 0
  private freeBytes = 0

  /// `freeBytesPerMessage` of each message are not counted, so that ordinary ones go on while large ones use up the
  /// budget. Of very many messages together, no more than `maxFreeBytes` are free.
  constructor (
    private readonly maxBytes: number,
    private readonly freeBytesPerMessage: number,
    private readonly maxFreeBytes = Infinity
  ) {}

  /// The bytes that are held now, without the free ones.
  get usedBytes (): number {
    return this.heldBytes + Math.max(0, this.freeBytes - this.maxFreeBytes)
  }

  /// Returns the share of one message.
  open (): MemoryShare {
    return new MemoryShare(this.freeBytesPerMessage, (bytes, freeBytes) => this.count(bytes, freeBytes))
  }

  private count (bytes: number, freeBytes: number): boolean {
    const usedBefore = this.usedBytes
    this.heldBytes += bytes
    this.freeBytes += freeBytes
    const { usedBytes } = this
    if (usedBytes <= usedBefore || usedBytes <= this.maxBytes) return true
    this.heldBytes -= bytes
    this.freeBytes -= freeBytes
    return false
  }
}

/// What one message takes of a budget.
export class MemoryShare {
  private bytes = 0
  private countedBytes = 0

  /// `count` adds to the budget's counted and free bytes, which fails if there are too many.
  constructor (
    private readonly freeBytes: number,
    private readonly count: (countedBytes: number, freeBytes: number) => boolean
  ) {}

  /// Returns false if the message must not get larger. What it has taken stays counted.
  add (bytes: number): boolean {
    return this.set(this.bytes + bytes)
  }

  /// As `add`, for a message that takes so many bytes now.
  set (bytes: number): boolean {
    const countedBytes = Math.max(0, bytes - this.freeBytes)
    const freeBytes = bytes - countedBytes
    const freeBytesBefore = this.bytes - this.countedBytes
    if (!this.count(countedBytes - this.countedBytes, freeBytes - freeBytesBefore)) return false
    this.bytes = bytes
    this.countedBytes = countedBytes
    return true
  }

  close (): void {
    this.set(0)
  }
}
