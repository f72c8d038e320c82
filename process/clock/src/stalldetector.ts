const checkEveryMs = 500
/// A timer that is this late shows that the process stood still, or had far more to do than it can.
const stalledMs = 250

/// Notices when the loop stood still: a frozen machine, or one with too little processor.
export class StallDetector {
  private dueMs = performance.now() + checkEveryMs
  private readonly timer = setInterval(() => this.check(), checkEveryMs)

  /// `onStall` is told for how long, once the loop goes on.
  constructor (private readonly onStall: (lateMs: number) => void) {}

  stop (): void {
    clearInterval(this.timer)
  }

  private check (): void {
    const nowMs = performance.now()
    const lateMs = nowMs - this.dueMs
    this.dueMs = nowMs + checkEveryMs
    if (lateMs >= stalledMs) this.onStall(Math.round(lateMs))
  }
}
