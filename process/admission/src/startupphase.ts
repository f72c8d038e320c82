/// What a process does for the first time takes longer than later: it loads and compiles code, and opens connections.
const maxDurationMs = 3000
/// With so many starts of calls, most of that is done.
const minStarts = 100

/// The time after the first call of a process, in which the delays measured so far say little about those to come.
export class StartupPhase {
  private firstCallAtMs = Infinity
  private starts = 0

  recordCall (nowMs: number): void {
    this.firstCallAtMs = Math.min(this.firstCallAtMs, nowMs)
  }

  recordStart (): void {
    this.starts++
  }

  isOver (nowMs: number): boolean {
    return this.starts >= minStarts || nowMs - this.firstCallAtMs >= maxDurationMs
  }
}
