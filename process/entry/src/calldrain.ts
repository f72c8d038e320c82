import { Refusal, RefusedError, Verdict } from '#request/call'
import { AbortReason } from '#request/forward'
import { sleep } from '#process/clock'

/// New connections are accepted for this long after SIGTERM: the load balancer needs time to notice the failing
/// readiness check.
const acceptingMs = 2600
/// Calls in flight must end this long before the end of the grace period, and not earlier than in its last eighth.
const maxMarginMs = 700
const maxMarginShare = 1 / 8
const pollIntervalMs = 50
/// A refused call should be sent to another entry at once.
const retryAfterMs = 20

/// The calls in flight at an entry, and the times of its planned stop.
export class CallDrain {
  private readonly inFlight = new Set<AbortController>()
  private startedAtMs: number | null = null
  private isAccepting = true
  /// Calls that the stop did not wait for.
  abortedCount = 0

  constructor (public graceMs: number) {}

  get isStopping (): boolean {
    return this.startedAtMs !== null
  }

  get count (): number {
    return this.inFlight.size
  }

  /// Counts a call as in flight until `serve` resolves. If the stop can't wait for its end, the controller is aborted
  /// with `AbortReason.stopping`.
  async run (serve: (controller: AbortController) => Promise<void>): Promise<void> {
    const controller = new AbortController()
    this.inFlight.add(controller)
    try {
      await serve(controller)
    } finally {
      this.inFlight.delete(controller)
    }
  }

  /// Throws `RefusedError` if the call may last until after the end of the stop, and the entry has stopped accepting
  /// connections. A call that another entry relays is refused before that, too: its caller is connected to an entry
  /// that goes on. `deadlineMs` is on the monotonic clock of `performance.now()`.
  assertMayStart (deadlineMs: number, isRelayed: boolean): void {
    const mayEnd = deadlineMs <= performance.now() + this.remainingMs
    if (mayEnd || (this.isAccepting && !isRelayed)) return
    throw new RefusedError(Refusal.stopping, Verdict.notRun, 'the entry stops before the deadline of the call', retryAfterMs)
  }

  /// Starts the stop, whose grace period began at `askedAtMs`. Resolves when no further connections should be accepted.
  async start (askedAtMs = performance.now()): Promise<void> {
    this.startedAtMs = askedAtMs
    await sleep(Math.max(0, Math.min(acceptingMs, this.graceMs / 2 + askedAtMs - performance.now())))
    this.isAccepting = false
  }

  /// Resolves when no call is in flight and `countOthers` returns 0, or when the time for them has ended and the calls
  /// that are left have been aborted.
  async waitForEnd (countOthers: () => number): Promise<void> {
    while (this.count + countOthers() > 0 && this.remainingMs > 0) await sleep(pollIntervalMs)
    this.abortedCount = this.count
    for (const controller of this.inFlight) controller.abort(AbortReason.stopping)
  }

  /// Time until calls in flight must have ended.
  get remainingMs (): number {
    const marginMs = Math.min(maxMarginMs, this.graceMs * maxMarginShare)
    return Math.max(0, (this.startedAtMs ?? Infinity) + this.graceMs - marginMs - performance.now())
  }
}
