import { Refusal, RefusedError, Verdict } from '#request/call'
import { Events } from '#process/log'
import type { EventLog } from '#process/log'
import { estimateMeanOthers, estimateRunning } from '#process/instances'
import type { Instance, InstanceRegistry } from '#process/instances'
import { BodiesInFlight, isLargeBody } from './bodiesinflight.js'
import { chooseInstance, estimateDelayMs } from './choice.js'
import type { PlacementRequest } from './choice.js'

/// The right to run one call on an instance, held until it is released.
export interface InstanceLease {
  readonly instance: Instance
  /// Releasing the lease again has no effect.
  release (): void
}

interface QueueEntry {
  readonly request: PlacementRequest
  readonly queuedAtMs: number
  resolve (lease: InstanceLease): void
  reject (error: RefusedError): void
}

const queueIntervalMs = 15
const noInstanceRetryAfterMs = 300
const overloadedRetryAfterMs = 150
/// Calls that don't fit into the queue are refused immediately.
const maxQueueLength = 400
/// The longest time after which a caller is told to come back.
const maxRetryAfterMs = 1000
/// Aging: the rank of a queued call falls by one for each such interval that it has waited; the lowest is placed first.
const agingIntervalMs = 400
/// Added to the rank of a program's first turn: a program has value only when it completes, so those that have
/// started are completed first.
const newProgramRankPenalty = 1
/// New programs start only on instances that use less than this share of their slots, and whose calls delay a turn by
/// less than this share of its latency target. The rest is reserved for turns of programs that are running.
const newProgramSlotShare = 0.75
const newProgramDelayShare = 0.6
/// New programs don't avoid an instance with a limit of which nothing was heard for so long.
const maxLimitAgeMs = 1000
/// Calls that an instance is sent beyond its slots, so that it doesn't idle between two calls.
const extraCalls = 1

/// Assigns calls to instances: immediately if one has capacity, otherwise in
/// order of urgency as capacity becomes free.
export class Placement {
  private readonly queue: QueueEntry[] = []
  private timer: ReturnType<typeof setInterval> | null = null
  private isPassDue = false
  private readonly bodies = new BodiesInFlight()

  constructor (
    private readonly registry: InstanceRegistry,
    private readonly zone: string,
    private readonly log: EventLog
  ) {}

  get queueLength (): number {
    return this.queue.length
  }

  /// Resolves when an instance has capacity for the call. Rejects with
  /// `RefusedError` if no instance is left to try, if the queue is full, if the
  /// call has waited for `maxWaitMs`, or when `signal` is aborted meanwhile.
  acquire (request: PlacementRequest, signal: AbortSignal): Promise<InstanceLease> {
    const nowMs = performance.now()
    const ahead = this.countAhead(request, nowMs)
    const candidates = this.findCandidates(request)
    const lease = ahead > 0 ? null : this.tryAcquire(candidates, request, nowMs)
    if (lease !== null) return Promise.resolve(lease)
    if (candidates.length === 0) return Promise.reject(createNoInstanceError(request.service))
    const waitMs = estimateLimitedWaitMs(candidates, ahead)
    if (this.queue.length >= maxQueueLength || waitMs > request.maxWaitMs) {
      return Promise.reject(createOverloadedError(request.service, waitMs))
    }
    return this.enqueue(request, nowMs, signal)
  }

  /// Whether the service has a ready instance other than the excluded ones.
  hasInstance (service: string, excluded: ReadonlySet<string>): boolean {
    for (const { description } of this.registry.readyInstances(service)) if (!excluded.has(description.id)) return true
    return false
  }

  /// Assigns queued calls to instances with free capacity. Refuses those that
  /// have waited for too long and those without an instance left to try.
  processQueue (): void {
    const nowMs = performance.now()
    this.queue.sort((a, b) => getAgedRank(a, nowMs) - getAgedRank(b, nowMs) ||
      getDeadlineMs(a.request) - getDeadlineMs(b.request))
    // Instances get no free capacity within a pass, so further calls of the same kind need not be tried.
    const withoutCapacity = new Set<string>()
    for (const entry of [...this.queue]) this.processEntry(entry, nowMs, withoutCapacity)
    if (this.queue.length === 0 && this.timer !== null) {
      clearInterval(this.timer)
      this.timer = null
    }
  }

  /// How many waiting calls are placed before this one.
  private countAhead (request: PlacementRequest, nowMs: number): number {
    return this.queue.filter(entry => {
      // A large body may wait for room where a small one needs none.
      if (isLarge(entry.request) && !isLarge(request)) return false
      return entry.request.service === request.service && getAgedRank(entry, nowMs) <= getBaseRank(request)
    }).length
  }

  private enqueue (request: PlacementRequest, nowMs: number, signal: AbortSignal): Promise<InstanceLease> {
    this.log.event(Events.callWaiting, {
      callId: request.call.id,
      service: request.service,
      waiting: this.queue.length
    })
    return new Promise((resolve, reject) => {
      if (signal.aborted) return reject(createAbortedError())
      const entry = { request, queuedAtMs: nowMs, resolve, reject }
      this.queue.push(entry)
      signal.addEventListener('abort', () => {
        if (this.dequeue(entry)) reject(createAbortedError())
      }, { once: true })
      this.timer ??= setInterval(() => this.processQueue(), queueIntervalMs)
    })
  }

  private processEntry (entry: QueueEntry, nowMs: number, withoutCapacity: Set<string>): void {
    const { request } = entry
    const kind = `${request.service} ${request.isContinuing} ${isLarge(request)}`
    if (request.excluded.size === 0 && withoutCapacity.has(kind)) return this.refuseIfExpired(entry, nowMs)
    const candidates = this.findCandidates(request)
    const lease = this.tryAcquire(candidates, request, nowMs)
    if (lease !== null) {
      this.dequeue(entry)
      entry.resolve(lease)
    } else if (candidates.length === 0) {
      this.dequeue(entry)
      entry.reject(createNoInstanceError(request.service))
    } else {
      if (request.excluded.size === 0) withoutCapacity.add(kind)
      this.refuseIfExpired(entry, nowMs)
    }
  }

  private refuseIfExpired (entry: QueueEntry, nowMs: number): void {
    if (nowMs - entry.queuedAtMs <= entry.request.maxWaitMs) return
    this.dequeue(entry)
    entry.reject(createOverloadedError(entry.request.service))
  }

  private dequeue (entry: QueueEntry): boolean {
    const index = this.queue.indexOf(entry)
    if (index >= 0) this.queue.splice(index, 1)
    return index >= 0
  }

  private tryAcquire (candidates: readonly Instance[], request: PlacementRequest, nowMs: number): InstanceLease | null {
    const meanOthers = estimateMeanOthers(candidates, nowMs)
    const estimateLoad = (instance: Instance): number => estimateRunning(instance, meanOthers, nowMs)
    const healthy = candidates.filter(instance => instance.suspectUntilMs <= nowMs)
    const usable = healthy.length > 0 ? healthy : candidates
    const available = (request.isContinuing ? usable : preferUnlimited(usable, nowMs))
      .filter(instance => hasCapacity(instance, request, estimateLoad(instance), nowMs))
      .filter(instance => this.bodies.hasRoom(instance, request.bodyBytes ?? 0))
    const instance = chooseInstance(available, request, this.zone, estimateLoad)
    return instance === null ? null : this.grantLease(instance, request.bodyBytes ?? 0, nowMs)
  }

  private findCandidates (request: PlacementRequest): Instance[] {
    return [...this.registry.readyInstances(request.service)]
      .filter(instance => !request.excluded.has(instance.description.id))
  }

  /// Processes the queue once for all leases that are released in one run of code.
  private processQueueSoon (): void {
    if (this.queue.length === 0 || this.isPassDue) return
    this.isPassDue = true
    queueMicrotask(() => {
      this.isPassDue = false
      this.processQueue()
    })
  }

  private grantLease (instance: Instance, bodyBytes: number, nowMs: number): InstanceLease {
    instance.running++
    const removeBody = this.bodies.add(instance, bodyBytes)
    instance.limit?.take(nowMs)
    let isHeld = true
    return {
      instance,
      release: () => {
        if (!isHeld) return
        isHeld = false
        instance.running--
        removeBody()
        this.processQueueSoon()
      }
    }
  }
}

function isLarge ({ bodyBytes = 0 }: PlacementRequest): boolean {
  return isLargeBody(bodyBytes)
}

function createAbortedError (): RefusedError {
  return new RefusedError(Refusal.timedOut, Verdict.notRun, 'caller disconnected or deadline passed while queued for an instance')
}

/// An instance with a limit is idle most of the time, however many calls there are. The requests that it takes are left
/// to running programs, as long as their responses say whether the limit still holds.
function preferUnlimited (instances: readonly Instance[], nowMs: number): readonly Instance[] {
  const unlimited = instances.filter(({ limit, loadReportedAtMs }) => {
    return limit === null || nowMs - loadReportedAtMs > maxLimitAgeMs
  })
  return unlimited.length > 0 ? unlimited : instances
}

function hasCapacity (instance: Instance, request: PlacementRequest, running: number, nowMs: number): boolean {
  const { slots } = instance.description
  const isRoomy = request.isContinuing
    ? running < slots + extraCalls
    : running < slots * newProgramSlotShare &&
      estimateDelayMs(running, request) < request.targetLatencyMs * newProgramDelayShare
  return isRoomy && (instance.limit === null || instance.limit.isOpen(nowMs))
}

/// How long a call waits behind others if all its candidates have limits of requests per second; 0 if one has none.
function estimateLimitedWaitMs (candidates: readonly Instance[], ahead: number): number {
  const requestsPerS = candidates.reduce((sum, { limit }) => sum + (limit?.sharePerS ?? Infinity), 0)
  return (ahead + 1) / requestsPerS * 1000
}

function getAgedRank (entry: QueueEntry, nowMs: number): number {
  return getBaseRank(entry.request) - Math.floor((nowMs - entry.queuedAtMs) / agingIntervalMs)
}

function getBaseRank (request: PlacementRequest): number {
  return request.priority + (request.isContinuing ? 0 : newProgramRankPenalty)
}

/// The deadline of the call's program, or of the call itself if it belongs to none.
function getDeadlineMs (request: PlacementRequest): number {
  return request.call.program === null
    ? request.deadlineMs
    : request.call.receivedAtMs + request.call.program.remainingMs
}

function createNoInstanceError (service: string): RefusedError {
  return new RefusedError(
    Refusal.noInstance,
    Verdict.notRun,
    `no ready instance of service ${service} is left to try`,
    noInstanceRetryAfterMs
  )
}

/// `waitMs` is how long the call is expected to wait for capacity, 0 if that is not known.
function createOverloadedError (service: string, waitMs = 0): RefusedError {
  return new RefusedError(
    Refusal.overloaded,
    Verdict.notRun,
    `no instance of service ${service} has capacity for the call`,
    Math.round(Math.min(Math.max(overloadedRetryAfterMs, waitMs), maxRetryAfterMs))
  )
}
