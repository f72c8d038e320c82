const checkIntervalMs = 500
/// A timer this late means that the process was frozen or badly overloaded.
const stallThresholdMs = 250

/// Detects stalls of the event loop, as on a frozen machine or one with too little CPU time.
export class StallDetector {
  private expectedAtMs = performance.now() + checkIntervalMs
  private readonly timer = setInterval(() => this.check(), checkIntervalMs)

  /// `onStall` is called after each stall, with the delay of the timer.
  constructor (private readonly onStall: (lateMs: number) => void) {}

  stop (): void {
    clearInterval(this.timer)
  }

  private check (): void {
    const nowMs = performance.now()
    const lateMs = nowMs - this.expectedAtMs
    this.expectedAtMs = nowMs + checkIntervalMs
    if (lateMs >= stallThresholdMs) this.onStall(Math.round(lateMs))
  }
}
