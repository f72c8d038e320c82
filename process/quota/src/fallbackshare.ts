/// What an entry that reaches no other one may spend of a workspace's tolerance: so many requests in any window.
export class FallbackShare {
  /// When its requests of the last window were spent, the oldest first.
  private spentAtMs: number[] = []

  constructor (private readonly windowMs: number) {}

  /// Whether nothing was spent in the last window.
  isUnused (nowMs: number): boolean {
    this.dropOld(nowMs)
    return this.spentAtMs.length === 0
  }

  /// Counts a request and returns true, unless the window has `limit` already.
  spend (limit: number, nowMs: number): boolean {
    this.dropOld(nowMs)
    if (this.spentAtMs.length + 1 > limit) return false
    this.spentAtMs.push(nowMs)
    return true
  }

  /// Takes back the latest request, which did not run.
  giveBack (): void {
    this.spentAtMs.pop()
  }

  private dropOld (nowMs: number): void {
    this.spentAtMs = this.spentAtMs.filter(timeMs => timeMs > nowMs - this.windowMs)
  }
}
