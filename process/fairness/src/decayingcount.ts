/// Counts events with a weight that decays exponentially with their age.
export class DecayingCount {
  private count = 0
  private updatedAtMs = 0

  /// `windowMs` is the time constant of the decay.
  constructor (private readonly windowMs: number) {}

  add (nowMs: number, by = 1): void {
    this.count = this.get(nowMs) + by
    this.updatedAtMs = nowMs
  }

  get (nowMs: number): number {
    return this.count * Math.exp((this.updatedAtMs - nowMs) / this.windowMs)
  }

  /// Mean rate over the window, or since `sinceMs` if counting began later than a window ago.
  getRatePerS (nowMs: number, sinceMs: number): number {
    const coveredMs = this.windowMs * (1 - Math.exp((sinceMs - nowMs) / this.windowMs))
    return coveredMs > 0 ? this.get(nowMs) / coveredMs * 1000 : 0
  }
}
