/// Weight of the latest interval in the mean interval between two starts.
const meanWeight = 0.1
const initialIntervalMs = 1
/// An interval counts as far as one of so many intervals before had it, too.
const intervalsBetweenStalls = 4

/// Mean interval between two starts of waiting calls, without single stalls: what waits next doesn't wait for them.
export class StartPace {
  intervalMs = initialIntervalMs
  private recentMs: readonly number[] = [initialIntervalMs]

  record (intervalMs: number): void {
    const repeatedMs = Math.min(intervalMs, Math.max(...this.recentMs))
    this.recentMs = [intervalMs, ...this.recentMs].slice(0, intervalsBetweenStalls)
    this.intervalMs += (repeatedMs - this.intervalMs) * meanWeight
  }
}
