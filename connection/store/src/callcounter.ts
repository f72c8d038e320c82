import { Events } from '#process/log'
import type { EventLog } from '#process/log'
import type { Metrics } from '#process/metrics'

const logIntervalMs = 10_000

/// Counts calls of the platform's store by kind of object, purpose and status: each call is priced.
export class StoreCallCounter {
  /// Since the last log line, by KIND PURPOSE STATUS.
  private counts = new Map<string, number>()

  constructor (private readonly log: EventLog, private readonly metrics: Metrics | null) {
    setInterval(() => this.logCounts(), logIntervalMs).unref()
  }

  count (kind: string, purpose: string, status: string): void {
    this.metrics?.increment(`store_calls_total{kind="${kind}",purpose="${purpose}",status="${status}"}`)
    const key = `${kind} ${purpose} ${status}`
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1)
  }

  private logCounts (): void {
    if (this.counts.size === 0) return
    this.log.event(Events.storeCalls, { intervalMs: logIntervalMs, counts: Object.fromEntries(this.counts) })
    this.counts = new Map()
  }
}
