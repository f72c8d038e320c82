/// A mean in which the weight of each value halves whenever `halfLifeMs` has passed.
export class DecayingMean {
  private sum = 0
  private total = 0
  private updatedAtMs = 0

  constructor (private readonly halfLifeMs: number) {}

  add (value: number, weight: number, nowMs: number): void {
    const kept = this.getKeptShare(nowMs)
    this.sum = this.sum * kept + value * weight
    this.total = this.total * kept + weight
    this.updatedAtMs = nowMs
  }

  /// 0 without values.
  get mean (): number {
    return this.total === 0 ? 0 : this.sum / this.total
  }

  getWeight (nowMs: number): number {
    return this.total === 0 ? 0 : this.total * this.getKeptShare(nowMs)
  }

  private getKeptShare (nowMs: number): number {
    return 0.5 ** (Math.max(0, nowMs - this.updatedAtMs) / this.halfLifeMs)
  }
}
