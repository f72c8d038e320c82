/// How much messages may take together.
export interface BudgetLimits {
  readonly maxBytes: number
  /// What a message beside which no other is counted may take, also if that is more.
  readonly maxLoneBytes: number
}

/// Limits the memory that the messages of one kind take together while they are received, held or sent.
export class MemoryBudget {
  /// Beyond the free bytes of each message.
  private heldBytes = 0
  private freeBytes = 0

  /// `freeBytesPerMessage` of each message are not counted, so that ordinary ones go on while large ones use up the
  /// budget. Of very many messages together, no more than `maxFreeBytes` are free.
  constructor (
    private readonly limits: number | (() => BudgetLimits),
    private readonly freeBytesPerMessage: number,
    private readonly maxFreeBytes = Infinity
  ) {}

  /// The bytes that are held now, without the free ones.
  get usedBytes (): number {
    return this.heldBytes + Math.max(0, this.freeBytes - this.maxFreeBytes)
  }

  /// Returns the share of one message.
  open (): MemoryShare {
    return new MemoryShare(this.freeBytesPerMessage, (before, after) => this.replace(before, after))
  }

  private get currentLimits (): BudgetLimits {
    const { limits } = this
    return typeof limits === 'number' ? { maxBytes: limits, maxLoneBytes: 0 } : limits()
  }

  private replace (before: MessageBytes, after: MessageBytes): boolean {
    const { maxBytes, maxLoneBytes } = this.currentLimits
    const usedBefore = this.usedBytes
    this.add(before, -1)
    const isLone = this.usedBytes === 0 && after.counted <= maxLoneBytes
    this.add(after, 1)
    const { usedBytes } = this
    if (usedBytes <= usedBefore || usedBytes <= maxBytes || isLone) return true
    this.add(after, -1)
    this.add(before, 1)
    return false
  }

  private add ({ counted, free }: MessageBytes, sign: 1 | -1): void {
    this.heldBytes += sign * counted
    this.freeBytes += sign * free
  }
}

/// What a message takes of a budget.
interface MessageBytes {
  readonly counted: number
  readonly free: number
}

/// What one message takes of a budget.
export class MemoryShare {
  private taken: MessageBytes = { counted: 0, free: 0 }

  /// `replace` counts the second in place of the first, which fails if that is too much.
  constructor (
    private readonly maxFreeBytes: number,
    private readonly replace: (before: MessageBytes, after: MessageBytes) => boolean
  ) {}

  /// Beyond the free bytes.
  get countedBytes (): number {
    return this.taken.counted
  }

  /// Returns false if the message must not get larger. What it has taken stays counted.
  add (bytes: number): boolean {
    return this.set(this.taken.counted + this.taken.free + bytes)
  }

  /// As `add`, for a message that takes so many bytes now.
  set (bytes: number): boolean {
    const free = Math.min(bytes, this.maxFreeBytes)
    const taken = { counted: bytes - free, free }
    if (!this.replace(this.taken, taken)) return false
    this.taken = taken
    return true
  }

  close (): void {
    this.set(0)
  }
}
