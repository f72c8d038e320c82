import { Refusal, RefusedError, Verdict } from '#request/call'
import { unitHash } from '#version/configuration'
import { Events } from '#process/log'
import type { EventLog } from '#process/log'
import { estimateMeanOthers, estimateRunning } from '#process/instances'
import type { Instance, InstanceRegistry } from '#process/instances'
import { BodiesInFlight, isLargeBody } from './bodiesinflight.js'
import { chooseInstance, countTokensToPrefill, estimateDelayMs } from './choice.js'
import type { PlacementRequest } from './choice.js'
import { FairQueue } from './fairqueue.js'
import type { QueuedCall } from './queueorder.js'
import { WaitEstimate } from './waitestimate.js'

/// The right to run one call on an instance, held until it is released.
export interface InstanceLease {
  readonly instance: Instance
  /// Must be called when the call has its first event: the instance has processed its prompt.
  endPrefill (): void
  /// Releasing the lease again has no effect.
  release (): void
}

interface QueueEntry extends QueuedCall {
  resolve (lease: InstanceLease): void
  reject (error: RefusedError): void
}

const queueIntervalMs = 15
const noInstanceRetryAfterMs = 300
const overloadedRetryAfterMs = 150
/// Calls that don't fit into the queue are refused immediately.
const maxQueueLength = 400
/// The longest time after which a caller is told to come back, also as a share of the time that it has left.
const maxRetryAfterMs = 1000
const maxRetryAfterShare = 1 / 3
/// Callers that are refused at the same time come back spread over this share of the delay.
const retryJitter = 0.4
/// New programs start only on instances that use less than this share of their slots, and whose calls delay a turn by
/// less than this share of its latency target. The rest is reserved for turns of programs that are running.
const newProgramSlotShare = 0.75
const newProgramDelayShare = 0.6
/// New programs don't avoid an instance with a limit of which nothing was heard for so long.
const maxLimitAgeMs = 1000
/// Services come and go with versions of the configuration; beyond this number of kinds of calls, the estimates of
/// those without waiting calls are dropped.
const maxEstimates = 1000
/// Calls that an instance is sent beyond its slots, so that it doesn't idle between two calls.
const extraCalls = 1

/// Assigns calls to instances: immediately if one has capacity, otherwise in
/// order of urgency as capacity becomes free.
export class Placement {
  /// In the order of the last pass, then of arrival.
  private queue: QueueEntry[] = []
  private readonly fairQueue = new FairQueue()
  /// By kind of call.
  private readonly waitEstimates = new Map<string, WaitEstimate>()
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

  /// How many services have fair shares of workspaces.
  get accountedServices (): number {
    return this.fairQueue.serviceCount
  }

  /// Resolves when an instance has capacity for the call. Rejects with
  /// `RefusedError` if no instance is left to try, if the queue is full, if the
  /// call has waited for `maxWaitMs`, or when `signal` is aborted meanwhile.
  acquire (request: PlacementRequest, signal: AbortSignal): Promise<InstanceLease> {
    const nowMs = performance.now()
    this.fairQueue.recordDemand(request, nowMs)
    const rivals = this.findRivals(request)
    const ahead = this.countAhead(rivals, request, nowMs)
    const candidates = this.findCandidates(request)
    const lease = ahead > 0 ? null : this.tryAcquire(candidates, request, nowMs)
    if (lease !== null) return Promise.resolve(lease)
    if (candidates.length === 0) return Promise.reject(createNoInstanceError(request.service))
    const waitMs = estimateLimitedWaitMs(candidates, ahead)
    if (waitMs > request.maxWaitMs) return Promise.reject(createLimitedError(request.service, waitMs))
    const rivalsOfKind = rivals.filter(entry => entry.request.isContinuing === request.isContinuing)
    const aheadOfKind = rivalsOfKind.length === rivals.length ? ahead : this.countAhead(rivalsOfKind, request, nowMs)
    if (this.getWaitEstimate(request).isTooLong(aheadOfKind, request.maxWaitMs, nowMs)) {
      return Promise.reject(this.createOverloadedError(request, aheadOfKind, nowMs))
    }
    if (!this.makeRoom(request, nowMs)) return Promise.reject(this.createOverloadedError(request, aheadOfKind, nowMs))
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
    this.queue = this.fairQueue.order(this.queue, nowMs)
    // Instances get no free capacity within a pass, so further calls of the same kind need not be tried.
    const withoutCapacity = new Set<string>()
    for (const entry of [...this.queue]) this.processEntry(entry, nowMs, withoutCapacity)
    if (this.queue.length === 0 && this.timer !== null) {
      clearInterval(this.timer)
      this.timer = null
    }
  }

  /// The waiting calls of the service that an arriving call waits behind, if they go first. A large body may wait for
  /// room where a small one needs none.
  private findRivals (request: PlacementRequest): QueueEntry[] {
    return this.queue.filter(entry => {
      return entry.request.service === request.service && (isLarge(request) || !isLarge(entry.request))
    })
  }

  private countAhead (waiting: readonly QueuedCall[], request: PlacementRequest, nowMs: number): number {
    return waiting.length === 0 ? 0 : this.fairQueue.countAhead(waiting, { request, queuedAtMs: nowMs }, nowMs)
  }

  /// Whether there is room in the queue for a call. A workspace with many waiting calls makes room for others.
  private makeRoom (request: PlacementRequest, nowMs: number): boolean {
    if (this.queue.length < maxQueueLength) return true
    const evicted = this.fairQueue.findEvicted(this.queue, request, nowMs)
    if (evicted === null) return false
    this.dequeue(evicted)
    const reason = ': its place in the queue goes to a workspace that has fewer calls waiting'
    evicted.reject(this.createOverloadedError(evicted.request, 0, nowMs, reason))
    return true
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
      this.getWaitEstimate(request).countWaiting(1, nowMs)
      signal.addEventListener('abort', () => {
        if (this.dequeue(entry)) reject(createAbortedError())
      }, { once: true })
      this.timer ??= setInterval(() => this.processQueue(), queueIntervalMs)
    })
  }

  private processEntry (entry: QueueEntry, nowMs: number, withoutCapacity: Set<string>): void {
    const { request } = entry
    const kind = `${getKind(request)} ${isLarge(request)}`
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
    entry.reject(this.createOverloadedError(entry.request, 0, nowMs))
  }

  private dequeue (entry: QueueEntry): boolean {
    const index = this.queue.indexOf(entry)
    if (index < 0) return false
    this.queue.splice(index, 1)
    this.getWaitEstimate(entry.request).countWaiting(-1, performance.now())
    return true
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
    if (instance === null) return null
    this.fairQueue.recordService(request, nowMs)
    this.getWaitEstimate(request).recordGrant(nowMs)
    return this.grantLease(instance, request, nowMs)
  }

  private getWaitEstimate (request: PlacementRequest): WaitEstimate {
    const kind = getKind(request)
    let estimate = this.waitEstimates.get(kind)
    if (estimate === undefined) {
      if (this.waitEstimates.size >= maxEstimates) this.dropIdleEstimates()
      estimate = new WaitEstimate()
      this.waitEstimates.set(kind, estimate)
    }
    return estimate
  }

  private dropIdleEstimates (): void {
    for (const [kind, estimate] of this.waitEstimates) if (!estimate.hasWaiting) this.waitEstimates.delete(kind)
  }

  /// Asks the caller to come back when the call could get a lease within its time.
  private createOverloadedError (
    request: PlacementRequest, ahead: number, nowMs: number, reason = ''
  ): RefusedError {
    const expectedMs = this.getWaitEstimate(request).getExpectedMs(ahead, nowMs)
    const dueMs = Math.max(overloadedRetryAfterMs, (expectedMs ?? 0) - request.maxWaitMs)
    const spreadMs = dueMs * (1 + unitHash(`retry/${request.call.id}`) * retryJitter)
    const latestMs = Math.min(maxRetryAfterMs, (request.deadlineMs - nowMs) * maxRetryAfterShare)
    const retryAfterMs = Math.max(overloadedRetryAfterMs, Math.min(spreadMs, latestMs))
    const details = expectedMs === null ? reason : ` within ${Math.round(expectedMs)} ms${reason}`
    return createOverloadedError(request.service, retryAfterMs, details)
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

  private grantLease (instance: Instance, request: PlacementRequest, nowMs: number): InstanceLease {
    const endPrefill = startPrefill(instance, request, nowMs)
    instance.running++
    const removeBody = this.bodies.add(instance, request.bodyBytes ?? 0)
    instance.limit?.take(nowMs)
    let isHeld = true
    return {
      instance,
      endPrefill,
      release: () => {
        if (!isHeld) return
        isHeld = false
        endPrefill()
        instance.running--
        removeBody()
        this.processQueueSoon()
      }
    }
  }
}

/// Records the prompt that the instance has to process. Returns a function that ends this; calling it again has no
/// effect.
function startPrefill (instance: Instance, request: PlacementRequest, startedAtMs: number): () => void {
  const tokens = request.engine === null ? 0 : countTokensToPrefill(instance, request)
  if (tokens === 0) return () => {}
  const partIds = new Set(request.call.prefix.map(({ id }) => id))
  const prefill = { tokens, partIds, startedAtMs }
  instance.prefills.add(prefill)
  return () => { instance.prefills.delete(prefill) }
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
  const speedFactor = instance.speed.getFactor(nowMs)
  const isRoomy = request.isContinuing
    ? running < slots + extraCalls
    : running * Math.max(1, speedFactor) < slots * newProgramSlotShare &&
      estimateDelayMs(running, request) * speedFactor < request.targetLatencyMs * newProgramDelayShare
  return isRoomy && (instance.limit === null || instance.limit.isOpen(nowMs))
}

/// How long a call waits behind others if all its candidates have limits of requests per second; 0 if one has none.
function estimateLimitedWaitMs (candidates: readonly Instance[], ahead: number): number {
  const requestsPerS = candidates.reduce((sum, { limit }) => sum + (limit?.sharePerS ?? Infinity), 0)
  return (ahead + 1) / requestsPerS * 1000
}

function createNoInstanceError (service: string): RefusedError {
  return new RefusedError(
    Refusal.noInstance,
    Verdict.notRun,
    `no ready instance of service ${service} is left to try`,
    noInstanceRetryAfterMs
  )
}

/// `waitMs` is how long the call is expected to wait for a share of its instances' limits.
function createLimitedError (service: string, waitMs: number): RefusedError {
  return createOverloadedError(service, Math.min(Math.max(overloadedRetryAfterMs, waitMs), maxRetryAfterMs))
}

function createOverloadedError (service: string, retryAfterMs: number, details = ''): RefusedError {
  return new RefusedError(
    Refusal.overloaded,
    Verdict.notRun,
    `no instance of service ${service} has capacity for the call${details}`,
    Math.round(retryAfterMs)
  )
}

/// Calls of one kind compete for the same slots: new programs don't get all of them.
function getKind ({ service, isContinuing }: PlacementRequest): string {
  return `${service} ${isContinuing}`
}
