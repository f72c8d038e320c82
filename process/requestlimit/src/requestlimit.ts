/// How much of an interval may be saved up, so that a request that is a little late doesn't delay the next ones.
const savedShare = 0.25
/// A request that is not sent for so long after its time has to wait for the next time.
const maxUnusedMs = 2000

/// The share of one process of a limit on the requests per second to an instance. Requests are evenly spaced, and
/// hardly any unsent ones are saved up: so processes with small shares do not send saved ones at the same moment. Times
/// are on the monotonic clock of `performance.now()`.
export class RequestLimit {
  private nextAtMs: number

  /// The first request may be sent within an interval, at a random time, so that processes that learn of the limit at
  /// the same moment spread their requests.
  constructor (readonly limitPerS: number, readonly sharePerS: number, nowMs: number) {
    this.nextAtMs = nowMs + Math.random() * this.intervalMs
  }

  /// Whether a request may be sent now.
  isOpen (nowMs: number): boolean {
    const unusedMs = nowMs - this.nextAtMs - maxUnusedMs
    if (unusedMs > 0) this.nextAtMs += Math.ceil(unusedMs / this.intervalMs) * this.intervalMs
    return nowMs >= this.nextAtMs
  }

  /// Counts a request.
  take (nowMs: number): void {
    this.nextAtMs = Math.max(this.nextAtMs, nowMs - savedShare * this.intervalMs) + this.intervalMs
  }

  /// Returns the limit with other figures, for which the time of the next request keeps its place in the interval.
  adjust (limitPerS: number, sharePerS: number, nowMs: number): RequestLimit {
    const adjusted = new RequestLimit(limitPerS, sharePerS, nowMs)
    const remainingShare = Math.max(0, this.nextAtMs - nowMs) / this.intervalMs
    adjusted.nextAtMs = nowMs + remainingShare * adjusted.intervalMs
    return adjusted
  }

  private get intervalMs (): number {
    return 1000 / this.sharePerS
  }
}
