import { Refusal, RefusedError, Verdict } from '#request/call'
import type { Workspace } from '#version/configuration'
import type { Metrics } from '#process/metrics'
import type { ReplyMessage } from './messages.js'
import type { CreditDemand } from './tokenbucket.js'

export interface AcquireOptions {
  /// Whether the call belongs to a program that has begun.
  readonly isContinuing: boolean
  /// How long the call may wait for credit that is due.
  readonly maxWaitMs: number
  readonly signal: AbortSignal
}

/// Credit for one call. One of the functions must be called when the call has ended; only the first call counts.
export interface Credit {
  /// The call has run, or may have.
  spend (): void
  /// The call has not run: the next one can spend the credit.
  giveBack (): void
}

/// The demand of a request, and the unspent credit that it returns.
export interface CreditRequest extends CreditDemand {
  readonly returned: number
  /// The bucket that the returned credit was granted from.
  readonly bucket: string
}

interface WaitingCall {
  readonly isContinuing: boolean
  /// Until when it waits, for credit that is due.
  readonly dueLimitMs: number
  readonly resolve: (credit: Credit) => void
  readonly reject: (error: RefusedError) => void
}

interface HeldCredit {
  count: number
  /// The bucket that it was granted from.
  readonly bucket: string
  readonly expiresAtMs: number
}

/// What a coordinator has said last about calls of one class that got no credit.
interface Shortage {
  readonly untilMs: number
  readonly level: number
}

/// Unspent credit is returned after this time.
const lifetimeMs = 500
/// Spare credit is asked for as much as is expected to be needed in this time.
const spareHorizonMs = 150
/// Time constant of the estimated rate of calls.
const rateWindowMs = 1000
const stoppingRetryMs = 100
const noShortage: Shortage = { untilMs: 0, level: 0 }

/// The credit of one workspace at one entry: what it holds, and the calls that wait for it. One request is in flight at
/// a time, for all calls that wait then.
export class WorkspaceCredit {
  private waiting: WaitingCall[] = []
  private held: HeldCredit[] = []
  private returned = { count: 0, bucket: '' }
  private isAsking = false
  private continuingShortage = noShortage
  private startingShortage = noShortage
  /// Calls of the last seconds, where older ones count less.
  private recentCalls = 0
  private calledAtMs = performance.now()
  private timer: ReturnType<typeof setTimeout> | undefined
  private timerAtMs = Infinity
  /// Increases when unspent credit is dropped; calls can't give back credit of an earlier one.
  private generation = 0
  private isStopped = false

  constructor (
    private current: Workspace,
    /// Starts a request, which must end with `receive` or `fail`.
    private readonly request: (credit: WorkspaceCredit) => void,
    private readonly metrics: Metrics
  ) {}

  get workspace (): Workspace {
    return this.current
  }

  /// Resolves when there is credit for a call. Rejects with `RefusedError` if it isn't due in time.
  acquire ({ isContinuing, maxWaitMs, signal }: AcquireOptions): Promise<Credit> {
    const nowMs = performance.now()
    this.countCall(nowMs)
    const credit = this.takeHeld()
    if (credit !== null) {
      if (this.needsSpare()) this.ask()
      return Promise.resolve(credit)
    }
    const dueLimitMs = nowMs + maxWaitMs
    const shortage = this.getShortage(isContinuing)
    if (shortage.untilMs > dueLimitMs) return Promise.reject(this.createRefusal(shortage, nowMs))
    if (signal.aborted) return Promise.reject(createAbortedError())
    if (this.isStopped) return Promise.reject(createStoppingError())
    return new Promise((resolve, reject) => {
      const onAbort = (): void => {
        this.waiting = this.waiting.filter(other => other !== call)
        reject(createAbortedError())
      }
      const end = (): void => signal.removeEventListener('abort', onAbort)
      const call: WaitingCall = {
        isContinuing,
        dueLimitMs,
        resolve: granted => { end(); resolve(granted) },
        reject: error => { end(); reject(error) }
      }
      signal.addEventListener('abort', onAbort, { once: true })
      this.waiting.push(call)
      if (shortage.untilMs > nowMs) this.wakeAt(shortage.untilMs)
      else this.ask()
    })
  }

  /// Returns credit that is held here, null if there is none.
  takeHeld (): Credit | null {
    const nowMs = performance.now()
    this.dropExpired(nowMs)
    const [first] = this.held
    if (first === undefined) return null
    if (--first.count === 0) this.held.shift()
    return this.createCredit(first.bucket)
  }

  /// Returns what the next request asks for.
  createDemand (): CreditRequest {
    const continuing = this.waiting.filter(call => call.isContinuing).length
    const { count, bucket } = this.returned
    this.returned = { count: 0, bucket: '' }
    return { continuing, starting: this.waiting.length - continuing, spare: this.missingSpare, returned: count, bucket }
  }

  /// Ends a request with what the coordinator has granted.
  receive (reply: ReplyMessage): void {
    const nowMs = performance.now()
    const { continuing, starting, spare, bucket, level, continuingDueMs, startingDueMs } = reply
    this.isAsking = false
    this.continuingShortage = { untilMs: continuingDueMs > 0 ? nowMs + continuingDueMs : 0, level }
    this.startingShortage = { untilMs: startingDueMs > 0 ? nowMs + startingDueMs : 0, level }
    const count = continuing + starting + spare
    this.metrics.increment('quota_granted_total', count)
    this.hold(count, bucket, nowMs)
    this.serveWaiting()
    this.settleShortages(nowMs)
    this.wakeForHeld()
  }

  /// Ends a request that got no credit: the calls that wait are refused, unless `findCredit` has some.
  fail (createError: () => RefusedError, findCredit: () => Credit | null = () => null): void {
    this.isAsking = false
    for (const call of this.waiting.splice(0)) {
      const credit = this.takeHeld() ?? findCredit()
      if (credit === null) call.reject(createError())
      else call.resolve(credit)
    }
  }

  /// Takes credit of a reply that came too late.
  addLate (count: number, bucket: string): void {
    this.hold(count, bucket, performance.now())
    this.serveWaiting()
    this.wakeForHeld()
  }

  /// Drops unspent credit if the limit is lower.
  setWorkspace (workspace: Workspace): void {
    const before = this.current.quota
    this.current = workspace
    const { quota } = workspace
    if (quota === null || before === null) return
    this.continuingShortage = this.startingShortage = noShortage
    if (quota.ratePerS < before.ratePerS || quota.burst < before.burst) this.dropUnspent()
  }

  /// Whether it has no calls, credit or requests, and had no call for `unusedMs`.
  isUnused (nowMs: number, unusedMs: number): boolean {
    return !this.isAsking && this.waiting.length === 0 && this.held.length === 0 && this.returned.count === 0 &&
      nowMs - this.calledAtMs >= unusedMs
  }

  /// Drops its credit. Calls that wait end with a request of their own.
  close (): void {
    this.cancelTimer()
    this.dropUnspent()
    if (this.waiting.length > 0) this.ask()
  }

  /// Refuses the calls that wait, and sends no further requests.
  stop (): void {
    this.isStopped = true
    this.cancelTimer()
    for (const call of this.waiting.splice(0)) call.reject(createStoppingError())
  }

  private cancelTimer (): void {
    clearTimeout(this.timer)
    this.timerAtMs = Infinity
  }

  private dropUnspent (): void {
    this.generation++
    this.held = []
    this.returned = { count: 0, bucket: '' }
  }

  private ask (): void {
    if (this.isAsking || this.isStopped) return
    this.isAsking = true
    this.request(this)
  }

  private hold (count: number, bucket: string, nowMs: number): void {
    if (count > 0) this.held.push({ count, bucket, expiresAtMs: nowMs + lifetimeMs })
  }

  private createCredit (bucket: string): Credit {
    const { generation } = this
    let isOpen = true
    return {
      spend: () => { isOpen = false },
      giveBack: () => {
        if (!isOpen) return
        isOpen = false
        this.metrics.increment('quota_given_back_total')
        if (generation !== this.generation) return
        this.hold(1, bucket, performance.now())
        this.serveWaiting()
        this.wakeForHeld()
      }
    }
  }

  /// Gives held credit to calls that wait, those of programs that have begun first.
  private serveWaiting (): void {
    while (this.waiting.length > 0) {
      const credit = this.takeHeld()
      if (credit === null) return
      const index = Math.max(0, this.waiting.findIndex(call => call.isContinuing))
      this.waiting.splice(index, 1)[0]!.resolve(credit)
    }
  }

  /// Refuses calls that won't wait until credit is due, and asks again then for the others.
  private settleShortages (nowMs: number): void {
    const kept: WaitingCall[] = []
    for (const call of this.waiting) {
      const shortage = this.getShortage(call.isContinuing)
      if (shortage.untilMs > call.dueLimitMs) call.reject(this.createRefusal(shortage, nowMs))
      else kept.push(call)
    }
    this.waiting = kept
    this.wakeForWaiting()
  }

  private wakeForWaiting (): void {
    if (this.waiting.length === 0 || this.isAsking) return
    const dueMs = Math.min(...this.waiting.map(({ isContinuing }) => this.getShortage(isContinuing).untilMs))
    if (dueMs > performance.now()) this.wakeAt(dueMs)
    else this.ask()
  }

  private wakeForHeld (): void {
    const [first] = this.held
    if (first !== undefined) this.wakeAt(first.expiresAtMs)
  }

  private wakeAt (timeMs: number): void {
    if (this.isStopped || this.timerAtMs <= timeMs) return
    clearTimeout(this.timer)
    this.timerAtMs = timeMs
    this.timer = setTimeout(() => this.wake(), Math.ceil(timeMs - performance.now()))
  }

  private wake (): void {
    this.timerAtMs = Infinity
    this.dropExpired(performance.now())
    if (this.returned.count > 0) this.ask()
    this.wakeForWaiting()
    this.wakeForHeld()
  }

  /// Expired credit is returned with the next request.
  private dropExpired (nowMs: number): void {
    while (this.held.length > 0 && this.held[0]!.expiresAtMs <= nowMs) {
      const { count, bucket } = this.held.shift()!
      const before = bucket === this.returned.bucket ? this.returned.count : 0
      this.returned = { count: before + count, bucket }
    }
  }

  private countCall (nowMs: number): void {
    this.recentCalls = this.recentCalls * Math.exp((this.calledAtMs - nowMs) / rateWindowMs) + 1
    this.calledAtMs = nowMs
  }

  /// Whether a request for spare credit should be sent ahead of need.
  private needsSpare (): boolean {
    return this.held.length === 0 && this.missingSpare > 0 && !this.isShort
  }

  private get isShort (): boolean {
    return Math.max(this.continuingShortage.untilMs, this.startingShortage.untilMs) > performance.now()
  }

  /// How much more is expected to be needed until the next reply.
  private get missingSpare (): number {
    const ratePerS = Math.min(this.recentCalls * 1000 / rateWindowMs, this.current.quota?.ratePerS ?? 0)
    const heldCount = this.held.reduce((sum, { count }) => sum + count, 0)
    return Math.max(0, Math.floor(ratePerS * spareHorizonMs / 1000) - heldCount)
  }

  private getShortage (isContinuing: boolean): Shortage {
    return isContinuing ? this.continuingShortage : this.startingShortage
  }

  private createRefusal ({ untilMs, level }: Shortage, nowMs: number): RefusedError {
    this.metrics.increment('quota_refused_total')
    const { name, quota } = this.current
    const dueMs = Math.max(1, Math.ceil(untilMs - nowMs))
    const message = `workspace ${name} is over its quota of ${quota?.ratePerS} requests/s: level ${level}, credit is due in ${dueMs} ms`
    return new RefusedError(Refusal.overQuota, Verdict.notRun, message, dueMs)
  }
}

function createStoppingError (): RefusedError {
  return new RefusedError(Refusal.stopping, Verdict.notRun, 'the entry stopped while the call waited for credit', stoppingRetryMs)
}

function createAbortedError (): RefusedError {
  return new RefusedError(Refusal.timedOut, Verdict.notRun, 'caller disconnected or deadline passed while the call waited for credit')
}
