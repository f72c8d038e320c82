import type { Instance } from '#process/instances'
import { Events } from '#process/log'
import type { EventLog } from '#process/log'
import { RequestLimit } from './requestlimit.js'
import { computeSharePerS } from './sharing.js'
import type { Sharer } from './sharing.js'

/// The entries that share limits.
export interface Sharers {
  readonly own: Sharer
  /// Null until they have been listed; another array after each change.
  readonly others: readonly Sharer[] | null
}

/// Until the other entries have been listed, a limit is shared with so many that they need not be named.
const unlistedCount = 23

/// The limits that instances have named in their responses. A limit lasts until a response doesn't name it.
export class RequestLimits {
  /// The other entries by which the share was computed.
  private readonly othersOf = new WeakMap<RequestLimit, readonly Sharer[] | null>()

  constructor (private readonly sharers: Sharers, private readonly log: EventLog) {}

  /// Records what a response of the instance says, in requests per second; null if it names no limit.
  record (instance: Instance, limitPerS: number | null, nowMs: number): void {
    if (limitPerS !== null) this.apply(instance, limitPerS, nowMs)
    else if (instance.limit !== null) this.end(instance)
  }

  private apply (instance: Instance, limitPerS: number, nowMs: number): void {
    const { others } = this.sharers
    const known = instance.limit
    if (known !== null && known.limitPerS === limitPerS && this.othersOf.get(known) === others) return
    const sharePerS = this.computeSharePerS(instance, limitPerS)
    if (known === null) this.logLimit(instance, limitPerS, sharePerS)
    instance.limit = known?.adjust(limitPerS, sharePerS, nowMs) ?? new RequestLimit(limitPerS, sharePerS, nowMs)
    this.othersOf.set(instance.limit, others)
  }

  private computeSharePerS ({ description }: Instance, limitPerS: number): number {
    const { own, others } = this.sharers
    const unlisted = (_: unknown, index: number): Sharer => ({ ...own, name: `unlisted-${index}` })
    return computeSharePerS(
      { instanceId: description.id, limitPerS }, own, others ?? Array.from({ length: unlistedCount }, unlisted)
    )
  }

  private logLimit ({ description }: Instance, limitPerS: number, sharePerS: number): void {
    const entries = (this.sharers.others?.length ?? unlistedCount) + 1
    this.log.event(Events.instanceLimited, { instanceId: description.id, limitPerS, sharePerS, entries })
  }

  private end (instance: Instance): void {
    const { description, limit } = instance
    this.log.event(Events.instanceLimitEnded, { instanceId: description.id, limitPerS: limit?.limitPerS })
    instance.limit = null
  }
}
