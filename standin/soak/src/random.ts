/// Numbers from a seed: mulberry32.
export class Random {
  constructor (private state: number) {}

  /// In [0, 1).
  next (): number {
    this.state = (this.state + 0x6d2b79f5) | 0
    let mixed = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 0x100000000
  }

  between (low: number, high: number): number {
    return low + (high - low) * this.next()
  }

  pick<Item> (items: readonly Item[]): Item {
    return items[Math.floor(this.next() * items.length)]!
  }

  /// Another sequence that depends on this one.
  fork (): Random {
    return new Random(Math.floor(this.next() * 0x100000000))
  }
}
