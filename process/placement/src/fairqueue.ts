import { FairShares } from '#process/fairness'
import type { PlacementRequest } from './choice.js'
import { compareClasses, compareUrgency, getUrgency } from './queueorder.js'
import type { QueuedCall, Urgency } from './queueorder.js'

interface OrderedCall<T> {
  readonly call: T
  readonly urgency: Urgency
}

interface LeveledCall<T> extends OrderedCall<T> {
  readonly level: number
}

/// Services come and go with versions of the configuration; beyond this number, the shares of the oldest are dropped.
const maxServices = 500

/// The fair shares of workspaces in each service, and the order that follows for a queue. Without workspaces it is
/// that of `compareCalls`.
export class FairQueue {
  private readonly sharesByService = new Map<string, FairShares>()

  recordDemand ({ service, workspace }: PlacementRequest, nowMs: number): void {
    this.getShares(service).recordDemand(workspace, nowMs)
  }

  recordService ({ service, workspace }: PlacementRequest, nowMs: number): void {
    this.getShares(service).recordService(workspace, nowMs)
  }

  /// Calls of equal rank and timeliness are ordered by how far they exceed the fair share of their workspace, then by
  /// the earliest deadline.
  order<T extends QueuedCall> (calls: readonly T[], nowMs: number): T[] {
    const ordered = orderByUrgency(calls, nowMs)
    const fairlyOrdered = this.isActive ? this.addLevels(ordered, nowMs).sort(compareLeveled) : ordered
    return fairlyOrdered.map(({ call }) => call)
  }

  /// How many of the waiting calls go before an arriving one.
  countAhead (waiting: readonly QueuedCall[], arriving: QueuedCall, nowMs: number): number {
    if (!this.isActive) {
      const urgency = getUrgency(arriving, nowMs)
      return waiting.filter(call => compareUrgency(getUrgency(call, nowMs), urgency) <= 0).length
    }
    const leveled = this.addLevels(orderByUrgency([...waiting, arriving], nowMs), nowMs)
    const place = leveled.findIndex(({ call }) => call === arriving)
    return leveled.filter((other, i) => {
      const difference = compareLeveled(other, leveled[place]!)
      return difference < 0 || (difference === 0 && i < place)
    }).length
  }

  /// Returns the waiting call that gives up its place in a full queue to an arriving one: the last of the workspace
  /// with the most waiting calls for its weight. Null if the arriving call's workspace has as many.
  findEvicted<T extends QueuedCall> (waiting: readonly T[], arriving: PlacementRequest, nowMs: number): T | null {
    if (!this.isActive) return null
    const counts = new Map<string, number>()
    for (const { request } of waiting) counts.set(getKey(request), (counts.get(getKey(request)) ?? 0) + 1)
    const getLoad = (request: PlacementRequest, more: number): number => {
      const weight = this.getShares(request.service).getWeight(request.workspace, nowMs)
      return ((counts.get(getKey(request)) ?? 0) + more) / weight
    }
    let evicted: T | null = null
    let maxLoad = getLoad(arriving, 1)
    for (const call of this.order(waiting, nowMs)) {
      const load = getLoad(call.request, 0)
      if (load < maxLoad || (load === maxLoad && evicted === null)) continue
      evicted = call
      maxLoad = load
    }
    return evicted
  }

  get serviceCount (): number {
    return this.sharesByService.size
  }

  private get isActive (): boolean {
    for (const shares of this.sharesByService.values()) if (shares.isActive) return true
    return false
  }

  private addLevels<T extends QueuedCall> (ordered: readonly OrderedCall<T>[], nowMs: number): LeveledCall<T>[] {
    const counts = new Map<string, number>()
    const count = (key: string): number => {
      const earlier = counts.get(key) ?? 0
      counts.set(key, earlier + 1)
      return earlier
    }
    return ordered.map(({ call, urgency }) => {
      const { request, request: { service, workspace } } = call
      const ownAhead = count(getKey(request))
      const level = this.getShares(service).getLevel(workspace, ownAhead, count(service), nowMs)
      return { call, urgency, level }
    })
  }

  private getShares (service: string): FairShares {
    let shares = this.sharesByService.get(service)
    if (shares === undefined) {
      const oldest = this.sharesByService.size < maxServices ? undefined : this.sharesByService.keys().next().value
      if (oldest !== undefined) this.sharesByService.delete(oldest)
      shares = new FairShares()
      this.sharesByService.set(service, shares)
    }
    return shares
  }
}

function orderByUrgency<T extends QueuedCall> (calls: readonly T[], nowMs: number): OrderedCall<T>[] {
  return calls.map(call => ({ call, urgency: getUrgency(call, nowMs) }))
    .sort((a, b) => compareUrgency(a.urgency, b.urgency))
}

function compareLeveled (a: LeveledCall<unknown>, b: LeveledCall<unknown>): number {
  return compareClasses(a.urgency, b.urgency) || a.level - b.level || a.urgency.deadlineMs - b.urgency.deadlineMs
}

/// Contains a character that no name has, so it differs from the name of a service.
function getKey ({ service, workspace }: PlacementRequest): string {
  return `${service}\n${workspace ?? ''}`
}
