import { DecayingCount } from '#process/fairness'

/// Time constant of the rate at which leases were granted.
const windowMs = 2000
/// With fewer recent grants the estimate is uncertain.
const minGrants = 10
/// Standard deviations by which the rate, and what is granted by chance, may be higher than counted.
const deviations = 2
/// Waits are estimated only after calls have waited for so long.
const minWaitingMs = 200

/// Estimates how long a call waits for capacity, from how fast leases were granted to its kind of calls while others of
/// them waited. Grants while none waited show the demand, not the capacity, and don't count. A slot that another entry
/// took isn't granted here, so only those count that this entry could use.
export class WaitEstimate {
  private readonly grants = new DecayingCount(windowMs)
  /// Time in which calls waited, decaying like the grants.
  private waitingMs = 0
  private updatedAtMs = 0
  private waitingCalls = 0

  get hasWaiting (): boolean {
    return this.waitingCalls > 0
  }

  /// Records that a call has begun to wait (1), or waits no more (-1).
  countWaiting (change: 1 | -1, nowMs: number): void {
    this.waitingMs = this.getWaitingMs(nowMs)
    this.updatedAtMs = nowMs
    this.waitingCalls += change
  }

  /// Records that a call has got a lease.
  recordGrant (nowMs: number): void {
    if (this.waitingCalls > 0) this.grants.add(nowMs)
  }

  /// Returns how long a call is expected to wait behind `ahead` others, null if that isn't known.
  getExpectedMs (ahead: number, nowMs: number): number | null {
    const count = this.grants.get(nowMs)
    const waitingMs = this.getWaitingMs(nowMs)
    if (this.waitingCalls === 0 || count < minGrants || waitingMs < minWaitingMs) return null
    return (ahead + 1) * waitingMs / count
  }

  /// Whether it is improbable that a call gets a lease within `maxWaitMs` behind `ahead` others. False if that isn't
  /// known.
  isTooLong (ahead: number, maxWaitMs: number, nowMs: number): boolean {
    const expectedMs = this.getExpectedMs(0, nowMs)
    if (expectedMs === null) return false
    const uncertainty = deviations / Math.sqrt(this.grants.get(nowMs))
    const grants = maxWaitMs / expectedMs * (1 + uncertainty)
    return ahead + 1 > grants + deviations * Math.sqrt(Math.max(grants, 1))
  }

  private getWaitingMs (nowMs: number): number {
    const decay = Math.exp((this.updatedAtMs - nowMs) / windowMs)
    return this.waitingMs * decay + (this.waitingCalls > 0 ? windowMs * (1 - decay) : 0)
  }
}
