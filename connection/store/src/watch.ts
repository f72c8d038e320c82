import { sleep } from '#process/clock'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'
import { deliverChanges, deliverListing } from './handler.js'
import type { WatchHandler } from './handler.js'
import { HistoryGoneError } from './store.js'
import type { Freshness, ObjectStore, StoreChange, StoreChanges } from './store.js'

export interface WatchOptions {
  readonly kind: string
  /// How long the store may wait for changes before it responds to the next request.
  readonly getWaitMs: () => number
  /// Delay before the next request after a change, so that several changes arrive in one response.
  readonly pauseMs: number
  readonly freshness?: Freshness
  /// The longest delay before a retry while the store is unavailable.
  readonly getMaxRetryMs?: () => number
  /// Called after changes that came with a listing or a refresh, not by themselves, and after an outage.
  readonly onLateNews?: () => void
}

const firstRetryMs = 150
const defaultMaxRetryMs = 600

/// Watches a kind of objects: lists them, then waits for changes. After a failure of the store it lists them again,
/// since an interrupted watch may have missed changes. A failure of the handler is logged and has no part in that.
export class ObjectWatch {
  private revision = 0
  private changeRevision = 0
  private isStopped = false
  private isAvailable = false
  private lastResponseAtMs = -Infinity
  private isRefresh = false
  /// The request that waits for changes.
  private waiting: AbortController | null = null
  private endRetryDelay: (() => void) | null = null

  constructor (
    private readonly store: ObjectStore,
    private readonly options: WatchOptions,
    private readonly handler: WatchHandler,
    private readonly log: EventLog
  ) {
    this.run().catch((error: unknown) => {
      log.event(Events.unexpectedError, { where: `watching ${options.kind}`, error: formatError(error) })
    })
  }

  get kind (): string {
    return this.options.kind
  }

  /// All changes up to this revision of the store are known.
  get knownRevision (): number {
    return this.revision
  }

  /// The revision of the latest known change of an object of this kind, or an earlier one if it was a deletion.
  get latestChangeRevision (): number {
    return this.changeRevision
  }

  /// Whether the store responded to the last request.
  get isUp (): boolean {
    return this.isAvailable
  }

  /// When the store last responded; on the monotonic clock of `performance.now()`.
  get respondedAtMs (): number {
    return this.lastResponseAtMs
  }

  /// Whether a request waits for changes.
  get isWaiting (): boolean {
    return this.waiting !== null
  }

  /// Asks the store again at once, on another connection: in place of a request that waits, or of a retry later.
  refresh (): void {
    this.endRetryDelay?.()
    if (this.waiting === null) return
    this.isRefresh = true
    this.waiting.abort()
  }

  stop (): void {
    this.isStopped = true
    this.waiting?.abort()
    this.endRetryDelay?.()
  }

  private async run (): Promise<void> {
    let wasInterrupted = false
    let retryMs = firstRetryMs
    while (!this.isStopped) {
      try {
        await this.list(wasInterrupted)
        wasInterrupted = false
        retryMs = firstRetryMs
        while (!this.isStopped) await this.followChanges()
      } catch (error) {
        if (this.isStopped) return
        this.isAvailable = false
        if (!(error instanceof HistoryGoneError)) wasInterrupted = true
        this.log.event(Events.watchRestarted, { kind: this.kind, error: formatError(error) })
        await this.delayRetry(retryMs * (0.75 + Math.random() / 2))
        retryMs = Math.min(retryMs * 2, this.options.getMaxRetryMs?.() ?? defaultMaxRetryMs)
      }
    }
  }

  private async list (wasInterrupted: boolean): Promise<void> {
    const { kind, freshness, onLateNews } = this.options
    const listing = await this.store.list(kind, freshness)
    if (this.isStopped) return
    if (wasInterrupted) this.log.event(Events.watchRestarted, { kind, revision: listing.revision })
    const latest = listing.objects.reduce((max, object) => Math.max(max, object.revision), 0)
    const hasNews = wasInterrupted || latest > this.changeRevision
    this.recordResponse()
    this.revision = listing.revision
    this.changeRevision = Math.max(this.changeRevision, latest)
    deliverListing(this.handler, listing, wasInterrupted, this.reportFailure)
    if (hasNews) onLateNews?.()
  }

  private async followChanges (): Promise<void> {
    const { store, options, revision } = this
    const controller = new AbortController()
    const isRefreshed = this.isRefresh
    this.isRefresh = false
    this.waiting = controller
    let received: StoreChanges
    try {
      received = await store.waitForChanges(options.kind, revision, {
        waitMs: options.getWaitMs(),
        signal: controller.signal,
        freshness: options.freshness
      })
    } catch (error) {
      if (!this.isRefresh || this.isStopped) throw error
      return
    } finally {
      this.waiting = null
    }
    this.recordResponse()
    this.revision = Math.max(revision, received.revision)
    if (received.changes.length === 0 || this.isStopped) return
    this.handleChanges(received.changes, revision)
    if (isRefreshed) options.onLateNews?.()
    await sleep(options.pauseMs)
  }

  private handleChanges (changes: readonly StoreChange[], revision: number): void {
    this.changeRevision = Math.max(revision + 1, ...changes.map(change => change.revision))
    deliverChanges(this.handler, changes, this.reportFailure)
  }

  private readonly reportFailure = (name: string, error: unknown): void => {
    const { stack } = error as Partial<Error>
    this.log.event(Events.objectFailed, { kind: this.kind, name, error: formatError(error), stack })
  }

  private recordResponse (): void {
    this.isAvailable = true
    this.lastResponseAtMs = performance.now()
  }

  private async delayRetry (ms: number): Promise<void> {
    await Promise.race([sleep(ms), new Promise<void>(resolve => { this.endRetryDelay = resolve })])
    this.endRetryDelay = null
  }
}
