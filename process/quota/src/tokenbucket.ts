import type { Quota } from '#version/configuration'

/// Credit that an entry asks for, in requests.
export interface CreditDemand {
  /// For calls of programs that have begun.
  readonly continuing: number
  /// For first turns of programs.
  readonly starting: number
  /// For calls that are expected before the next reply.
  readonly spare: number
}

/// What a coordinator grants of a demand.
export interface CreditGrant {
  readonly continuing: number
  readonly starting: number
  readonly spare: number
  /// When further credit is due for a call of each class that got none; 0 if all got theirs.
  readonly continuingDueMs: number
  readonly startingDueMs: number
}

/// When credit for the next calls of a class that got none is due, on the clock of `performance.now()`.
interface DueTimes {
  continuing: number
  starting: number
}

/// Share of the capacity that first turns of programs must leave for calls of programs that have begun.
const reserveShare = 0.25
/// Refused calls get due times one after the other up to this far ahead, so that they don't all come back at once.
const maxSpreadMs = 1000
/// Levels are sums of fractions, which may be slightly below the whole number that they stand for.
const rounding = 1e-9

/// Returns how much credit a quota lets accumulate: at least one request, or none would ever run.
export function getCapacity ({ burst }: Quota): number {
  return Math.max(1, burst)
}

/// The credit of one workspace: it accrues at the rate of the quota, up to its capacity. Times are on the monotonic
/// clock of `performance.now()`.
export class TokenBucket {
  private storedLevel = 0
  private readonly nextDueMs: DueTimes = { continuing: 0, starting: 0 }

  /// The bucket is empty at `filledAtMs` and accrues credit from then on; it may lie in the future.
  constructor (private limits: Quota, private filledAtMs: number) {}

  get quota (): Quota {
    return this.limits
  }

  get capacity (): number {
    return getCapacity(this.limits)
  }

  getLevel (nowMs: number): number {
    if (nowMs > this.filledAtMs) {
      const added = (nowMs - this.filledAtMs) / 1000 * this.limits.ratePerS
      this.storedLevel = Math.min(this.capacity, this.storedLevel + added)
      this.filledAtMs = nowMs
    }
    return this.storedLevel
  }

  isFull (nowMs: number): boolean {
    return this.getLevel(nowMs) >= this.capacity - rounding
  }

  /// Deducts what it grants. Calls of programs that have begun come first.
  grant (demand: CreditDemand, nowMs: number): CreditGrant {
    const continuing = this.take(demand.continuing, 0, nowMs)
    const starting = this.take(demand.starting, this.reserve, nowMs)
    const spare = this.take(demand.spare, this.reserve, nowMs)
    return {
      continuing,
      starting,
      spare,
      continuingDueMs: this.spread('continuing', demand.continuing - continuing, 0, nowMs),
      startingDueMs: this.spread('starting', demand.starting - starting, this.reserve, nowMs)
    }
  }

  /// Deducts credit that another coordinator has granted. The level may fall below 0, by the capacity at most.
  deduct (count: number, nowMs: number): void {
    this.storedLevel = Math.max(-this.capacity, this.getLevel(nowMs) - count)
  }

  giveBack (count: number, nowMs: number): void {
    this.storedLevel = Math.min(this.capacity, this.getLevel(nowMs) + count)
  }

  /// Raises a lower level to that of a bucket that was taken over, up to the capacity.
  raiseTo (level: number, nowMs: number): void {
    this.storedLevel = Math.min(this.capacity, Math.max(level, this.getLevel(nowMs)))
  }

  /// The level is cut to a lower capacity.
  setQuota (quota: Quota, nowMs: number): void {
    const level = this.getLevel(nowMs)
    this.limits = quota
    this.storedLevel = Math.min(this.capacity, level)
    this.nextDueMs.continuing = this.nextDueMs.starting = 0
  }

  /// What first turns of programs must leave; they can always get the last request of a full bucket.
  private get reserve (): number {
    return Math.min(this.capacity * reserveShare, this.capacity - 1)
  }

  private take (count: number, reserve: number, nowMs: number): number {
    const available = Math.floor(this.getLevel(nowMs) - reserve + rounding)
    const taken = Math.max(0, Math.min(count, available))
    this.storedLevel -= taken
    return taken
  }

  /// Returns in how many milliseconds credit is due for the first of the calls that got none.
  private spread (callClass: keyof DueTimes, refused: number, reserve: number, nowMs: number): number {
    if (refused <= 0) return 0
    const missing = reserve + 1 - this.getLevel(nowMs)
    const accrualMs = Math.max(0, missing) / this.limits.ratePerS * 1000
    const earliestMs = Math.max(nowMs, this.filledAtMs) + accrualMs
    const dueMs = Math.max(earliestMs, this.nextDueMs[callClass])
    const nextMs = dueMs + refused / this.limits.ratePerS * 1000
    this.nextDueMs[callClass] = Math.min(nextMs, Math.max(earliestMs, nowMs + maxSpreadMs))
    return Math.max(1, Math.ceil(dueMs - nowMs))
  }
}
