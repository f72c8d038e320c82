/// Weight of the latest interval in the mean interval between two starts.
const meanWeight = 0.1
const initialIntervalMs = 1
/// An interval counts up to the longest of so many intervals before it, so that a single stall hardly counts.
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
