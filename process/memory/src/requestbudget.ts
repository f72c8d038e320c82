import { MemoryBudget } from './memorybudget.js'
import type { MemoryShare } from './memorybudget.js'

/// How the memory for requests is divided, in bytes.
export interface RequestBudgetLimits {
  /// Bodies and short histories, while no long history takes more than the rest of `totalBytes`.
  readonly ordinaryBytes: number
  /// All requests together.
  readonly totalBytes: number
  /// The longest history that is asked for.
  readonly longestBytes: number
  /// See `MemoryBudget`.
  readonly freeBytesPerMessage: number
  readonly maxFreeBytes: number
}

/// How a call waits for the memory of its history.
export interface MemoryWait {
  /// When its caller first asked for it, on the monotonic clock of `performance.now()`. The earliest is served first.
  readonly sinceMs: number
  readonly timeoutMs: number
  /// The call gives up its place when one of them is aborted.
  readonly signals?: readonly AbortSignal[]
}

/// Whether a call got the memory; if not, after which time its caller should come back.
export type MemoryGrant = { readonly isGranted: true } | { readonly isGranted: false, readonly retryAfterMs: number }

interface WaitingHistory {
  readonly bytes: number
  readonly sinceMs: number
  /// What its call holds meanwhile.
  readonly heldBytes: number
  readonly grant: () => void
}

/// Of the memory for ordinary requests, what those that wait for a long history leave to others.
const ordinaryFloorShare = 1 / 4
/// A shorter history is an ordinary request.
const longHistoryBytes = 1024 * 1024
const maxWaiting = 32
/// Until it is known how long a long history is held.
const initialHoldMs = 500
/// Of the mean of these times: what a new one changes.
const holdWeight = 0.2
/// A history that is expected to wait for longer than this share of its time is refused at once. The estimate is rough.
const hopelessShare = 1.5
const minRetryAfterMs = 120
const maxRetryAfterMs = 1000

/// The memory for the bodies and prompts of requests. Bodies and short histories get it at once or not at all. Long
/// histories, one of which may need more than all ordinary requests together, wait for it in the order in which their
/// callers first asked. While the first of them waits, ordinary requests get only what it leaves over.
export class RequestBudget {
  private readonly ordinary: MemoryBudget
  private readonly floorBytes: number
  /// Of the long histories that are held.
  private longBytes = 0
  private readonly queue: WaitingHistory[] = []
  private meanHoldMs = initialHoldMs

  constructor (private readonly limits: RequestBudgetLimits) {
    const { ordinaryBytes, totalBytes, longestBytes, freeBytesPerMessage, maxFreeBytes } = limits
    this.floorBytes = Math.max(0, Math.min(ordinaryBytes * ordinaryFloorShare, totalBytes - longestBytes))
    this.ordinary = new MemoryBudget(() => this.ordinaryLimits, freeBytesPerMessage, maxFreeBytes)
  }

  /// The bytes that are held now, without the free ones.
  get usedBytes (): number {
    return this.ordinary.usedBytes + this.longBytes
  }

  /// How many calls wait for the memory of their history.
  get waiting (): number {
    return this.queue.length
  }

  /// Returns the share of one call.
  open (): RequestShare {
    return new RequestShare(this, this.ordinary.open())
  }

  /// Takes the memory of a long history. Resolves once that is decided.
  async take (bytes: number, heldBytes: number, wait: MemoryWait): Promise<MemoryGrant> {
    const { sinceMs, timeoutMs, signals = [] } = wait
    const ahead = this.queue.filter(other => other.sinceMs <= sinceMs)
    if (ahead.length === 0 && this.fits(bytes)) {
      this.longBytes += bytes
      return { isGranted: true }
    }
    const expectedMs = this.estimateWaitMs(bytes, ahead)
    const isHopeless = bytes > this.limits.totalBytes || expectedMs > timeoutMs * hopelessShare
    const mayWait = !isHopeless && this.mayWait(heldBytes) && !signals.some(({ aborted }) => aborted)
    if (!mayWait) return createRefusal(expectedMs)
    const isGranted = await this.wait({ bytes, sinceMs, heldBytes }, timeoutMs, signals)
    return isGranted ? { isGranted } : createRefusal(this.estimateWaitMs(bytes, []))
  }

  /// Takes more for a long history that holds some already, at once or not at all: if such calls waited, each might
  /// wait for what the others hold.
  extend (bytes: number): boolean {
    if (!this.fits(bytes)) return false
    this.longBytes += bytes
    return true
  }

  /// Gives the memory of a long history back, which was held for so long.
  release (bytes: number, holdMs: number): void {
    this.longBytes -= bytes
    this.meanHoldMs += (holdMs - this.meanHoldMs) * holdWeight
    this.serveQueue()
  }

  /// Serves those that wait, as far as there is memory for them.
  serveQueue (): void {
    for (let first = this.queue[0]; first !== undefined && this.fits(first.bytes); first = this.queue[0]) {
      this.queue.shift()
      this.longBytes += first.bytes
      first.grant()
    }
  }

  /// What ordinary requests may take, and a single one beside which no other is counted.
  private get ordinaryLimits (): { maxBytes: number, maxLoneBytes: number } {
    const { ordinaryBytes, totalBytes } = this.limits
    const leftBytes = Math.max(0, totalBytes - Math.max(this.longBytes, this.queue[0]?.bytes ?? 0))
    return { maxBytes: Math.min(ordinaryBytes, leftBytes), maxLoneBytes: leftBytes }
  }

  private fits (bytes: number): boolean {
    const ordinaryBytes = Math.max(this.floorBytes, this.ordinary.usedBytes)
    return this.longBytes + bytes + ordinaryBytes <= this.limits.totalBytes
  }

  /// What those that wait hold must leave room for the longest history, or none of them could go on.
  private mayWait (heldBytes: number): boolean {
    const { totalBytes, longestBytes } = this.limits
    const waitingBytes = this.queue.reduce((sum, other) => sum + other.heldBytes, 0)
    const maxWaitingBytes = Math.max(0, totalBytes - longestBytes - this.floorBytes)
    return this.queue.length < maxWaiting && (heldBytes === 0 || waitingBytes + heldBytes <= maxWaitingBytes)
  }

  private estimateWaitMs (bytes: number, ahead: readonly WaitingHistory[]): number {
    const aheadBytes = ahead.reduce((sum, other) => sum + other.bytes, this.longBytes)
    return (aheadBytes + bytes) / (this.limits.totalBytes - this.floorBytes) * this.meanHoldMs
  }

  private wait (
    history: Omit<WaitingHistory, 'grant'>, timeoutMs: number, signals: readonly AbortSignal[]
  ): Promise<boolean> {
    return new Promise(resolve => {
      const waiting = { ...history, grant: () => end(true) }
      const end = (isGranted: boolean): void => {
        clearTimeout(timer)
        for (const signal of signals) signal.removeEventListener('abort', giveUp)
        resolve(isGranted)
      }
      const giveUp = (): void => {
        this.queue.splice(this.queue.indexOf(waiting), 1)
        end(false)
        this.serveQueue()
      }
      const timer = setTimeout(giveUp, timeoutMs)
      for (const signal of signals) signal.addEventListener('abort', giveUp, { once: true })
      const next = this.queue.findIndex(other => other.sinceMs > history.sinceMs)
      this.queue.splice(next < 0 ? this.queue.length : next, 0, waiting)
    })
  }
}

function createRefusal (expectedMs: number): MemoryGrant {
  const retryAfterMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, Math.round(expectedMs)))
  return { isGranted: false, retryAfterMs }
}

/// What one call takes of the memory for requests.
export class RequestShare {
  private longBytes = 0
  private longSinceMs = 0

  constructor (private readonly budget: RequestBudget, private readonly ordinary: MemoryShare) {}

  /// Returns false if the call must not take more. What it has taken stays counted.
  add (bytes: number): boolean {
    return this.ordinary.add(bytes)
  }

  /// Takes the memory of the call's history, whose length is mostly known before it is read.
  async addHistory (bytes: number, wait: MemoryWait): Promise<MemoryGrant> {
    if (bytes < longHistoryBytes) {
      return this.add(bytes) ? { isGranted: true } : { isGranted: false, retryAfterMs: minRetryAfterMs }
    }
    const grant = this.longBytes > 0
      ? this.extend(bytes)
      : await this.budget.take(bytes, this.ordinary.countedBytes, wait)
    if (!grant.isGranted) return grant
    if (this.longBytes === 0) this.longSinceMs = performance.now()
    this.longBytes += bytes
    return grant
  }

  private extend (bytes: number): MemoryGrant {
    return this.budget.extend(bytes) ? { isGranted: true } : { isGranted: false, retryAfterMs: minRetryAfterMs }
  }

  close (): void {
    this.ordinary.close()
    const { longBytes } = this
    this.longBytes = 0
    if (longBytes > 0) this.budget.release(longBytes, performance.now() - this.longSinceMs)
    else this.budget.serveQueue()
  }
}
