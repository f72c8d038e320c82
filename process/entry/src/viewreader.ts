import { ObjectKind } from '#connection/store'
import type { ObjectStore } from '#connection/store'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'
import { parseView, viewObjectName } from '#process/membership'
import type { LedgerQuorum } from '#process/quorum'

/// Reads that bring no newer view follow each other at growing intervals.
const minReadIntervalMs = 400
const maxReadIntervalMs = 1600
const firstViewPollIntervalMs = 250

/// Reads the storage view from the platform's store: until there is one, and when the quorum's may be out of date.
export class ViewReader {
  private isReading = false
  private nextReadAtMs = 0
  private intervalMs = minReadIntervalMs
  private lastVersion = 0
  private pollTimer: ReturnType<typeof setInterval> | null = null

  constructor (
    private readonly store: ObjectStore,
    private readonly quorum: LedgerQuorum,
    private readonly log: EventLog
  ) {}

  start (): void {
    this.read()
    this.pollTimer = setInterval(() => { if (this.quorum.viewVersion === 0) this.read() }, firstViewPollIntervalMs)
  }

  stop (): void {
    if (this.pollTimer !== null) clearInterval(this.pollTimer)
  }

  /// Does nothing while a read is in flight, or if the last one is too recent.
  read (): void {
    const nowMs = performance.now()
    if (this.isReading || nowMs < this.nextReadAtMs) return
    this.isReading = true
    this.nextReadAtMs = nowMs + this.updateIntervalMs(nowMs)
    this.store.get(ObjectKind.storageViews, viewObjectName).then(object => {
      if (object !== null) this.quorum.adoptView(parseView(object.spec), 'store')
    }).catch((error: unknown) => {
      this.log.event(Events.viewRejected, { error: formatError(error) })
    }).finally(() => { this.isReading = false })
  }

  /// Returns the time until the next read, after one that starts now.
  private updateIntervalMs (nowMs: number): number {
    const { viewVersion } = this.quorum
    const isRepeated = viewVersion === this.lastVersion && nowMs < this.nextReadAtMs + maxReadIntervalMs
    this.lastVersion = viewVersion
    this.intervalMs = isRepeated ? Math.min(2 * this.intervalMs, maxReadIntervalMs) : minReadIntervalMs
    return this.intervalMs
  }
}
