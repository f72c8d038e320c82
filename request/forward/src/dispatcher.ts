import { Refusal, RefusedError, Verdict } from '#request/call'
import { Events } from '#process/log'
import { recordHandledObject, recordResponse } from '#process/instances'
import { findUncachedTokens } from '#process/placement'
import type { InstanceLease } from '#process/placement'
import { attempt } from './attempt.js'
import type { AttemptResult, ResponseTiming, StreamListener } from './attempt.js'
import { AbortReason } from './context.js'
import type { ForwardContext, RoutedCall } from './context.js'

/// The fields of a placement request that depend on the kind of call, or of its attempt.
export interface LeaseOptions {
  readonly previousInstanceId: string | null
  readonly isContinuing: boolean
  readonly maxWaitMs: number
}

/// What one attempt sends, and how its response is received.
export interface AttemptOptions {
  readonly body: readonly Buffer[]
  readonly lastEventId: number
  readonly listener: StreamListener | null
  readonly idleTimeoutMs: number
  /// Further fields of the log line for the dispatch.
  readonly details: Readonly<Record<string, unknown>>
}

interface SentAttempt {
  readonly startedAtMs: number
  readonly eventCount: number
  readonly uncachedTokens: number | null
}

/// For a call that is in flight elsewhere meanwhile.
const alternativeOptions: LeaseOptions = { previousInstanceId: null, isContinuing: true, maxWaitMs: 0 }
/// Limit on attempts of which nothing was sent. They don't count toward the route's `maxInstances`.
const maxUnsentAttempts = 4
const upstreamFailedRetryAfterMs = 100

/// Sends one call to one or more instances. Tracks which instances were used,
/// whether the call may have run and whether it may be retried.
export class CallDispatcher {
  sentCount = 0
  mayHaveRun = false
  private unsentCount = 0
  private hasAnswer = false
  private readonly usedInstanceIds = new Set<string>()
  /// Leased while the call is in flight at an instance that makes no progress, for its next attempt.
  private alternative: InstanceLease | null = null

  /// `bodyBytes`: of what is sent to instances.
  constructor (
    private readonly routed: RoutedCall,
    private readonly context: ForwardContext,
    private readonly bodyBytes = routed.body.length
  ) {}

  /// Rejects with `RefusedError` if no instance can take the call in time, or if its key was removed while it waited.
  async acquireLease (options: LeaseOptions): Promise<InstanceLease> {
    const { alternative } = this
    this.alternative = null
    const lease = alternative ?? await this.requestLease(options, this.usedInstanceIds)
    this.checkAuthorized(lease)
    return lease
  }

  /// A call that may have run may go on after its key was removed. One that all instances have refused has not begun.
  private checkAuthorized (lease: InstanceLease): void {
    if (this.mayHaveRun || this.hasAnswer) return
    try {
      this.routed.assertAuthorized()
    } catch (error) {
      lease.release()
      throw error
    }
  }

  /// Must be called when the call has ended.
  close (): void {
    this.alternative?.release()
    this.alternative = null
  }

  private requestLease (options: LeaseOptions, excluded: ReadonlySet<string>): Promise<InstanceLease> {
    const { call, serviceName, service, route, workspace, priority, deadlineMs, signal } = this.routed
    return this.context.placement.acquire({
      call,
      kind: route.name,
      service: serviceName,
      workspace: workspace?.name ?? null,
      engine: service?.engine ?? null,
      priority,
      targetLatencyMs: route.targetLatencyMs,
      affinityKey: this.affinityKey,
      excluded,
      deadlineMs,
      bodyBytes: this.bodyBytes,
      ...options
    }, signal)
  }

  /// Sends the call to the leased instance, then releases the lease. Never rejects.
  async send (lease: InstanceLease, options: AttemptOptions): Promise<AttemptResult> {
    const { routed, context } = this
    const { details, ...rest } = options
    const { instance } = lease
    const nowMs = performance.now()
    const remainingMs = routed.deadlineMs - nowMs
    if (remainingMs <= 0) return this.giveUp(lease)
    this.logDispatch(lease, details, nowMs)
    const { call, signal, hasWorkspaces, workspace } = routed
    const { codec, limits, log, responseMemory } = context
    const findAlternative = (isIdle: () => boolean): Promise<boolean> => this.findAlternative(lease, isIdle)
    const services = { codec, limits, log, responseMemory }
    const identity = { workspace: workspace?.name ?? null, hidesCredentials: hasWorkspaces }
    const running = Math.max(1, instance.running + instance.othersRunning)
    const timing: ResponseTiming = { running, firstEventAtMs: null, lastEventAtMs: 0 }
    const uncachedTokens = findUncachedTokens(instance, call)
    const previousEvents = options.listener?.eventCount ?? 0
    const onFirstEvent = (): void => lease.endPrefill()
    const observer = { timing, onFirstEvent, findAlternative }
    const sent = { call, instance, identity, remainingMs, signal }
    const result = await attempt({ ...sent, ...observer, ...services, ...rest })
    const eventCount = (options.listener?.eventCount ?? 0) - previousEvents
    this.recordResponse(lease, result, timing, { startedAtMs: nowMs, eventCount, uncachedTokens })
    context.metrics.observeMs('instance', performance.now() - nowMs)
    if (result.kind === 'unconfirmed') context.metrics.increment(`unconfirmed_refusals_total{status="${result.status}"}`)
    if (isHandled(result)) this.recordHandling(lease)
    lease.release()
    this.usedInstanceIds.add(instance.description.id)
    if (result.kind === 'unsent') this.unsentCount++
    else this.sentCount++
    if (result.kind === 'broken' || result.kind === 'unconfirmed') this.mayHaveRun = true
    if (result.kind === 'answer') this.hasAnswer = true
    return result
  }

  /// The object that the call concerns, if that matters on its route. For a model engine, the cached parts of the
  /// prompt say more.
  private get affinityKey (): string | null {
    const { call, route, service } = this.routed
    return route.isSticky && (service?.engine ?? null) === null ? call.affinityKey : null
  }

  /// The process was paused or busy since the lease was granted, and the caller waits no more.
  private giveUp (lease: InstanceLease): AttemptResult {
    lease.release()
    this.unsentCount = maxUnsentAttempts
    return { kind: 'unsent', reason: 'the deadline passed before the call was sent' }
  }

  private recordHandling ({ instance }: InstanceLease): void {
    const { affinityKey } = this
    if (affinityKey !== null) recordHandledObject(instance, affinityKey, performance.now())
  }

  private recordResponse (
    { instance }: InstanceLease,
    result: AttemptResult,
    { running, firstEventAtMs, lastEventAtMs }: ResponseTiming,
    { startedAtMs, eventCount, uncachedTokens }: SentAttempt
  ): void {
    if (!isMeasurable(result)) return
    const { route, service } = this.routed
    const nowMs = performance.now()
    recordResponse(instance, {
      kind: route.name,
      isEngine: (service?.engine ?? null) !== null,
      isComplete: result.kind !== 'broken',
      durationMs: nowMs - startedAtMs,
      running,
      firstEventMs: firstEventAtMs === null ? null : firstEventAtMs - startedAtMs,
      eventsMs: firstEventAtMs === null ? 0 : lastEventAtMs - firstEventAtMs,
      eventCount,
      uncachedTokens
    }, nowMs)
  }

  /// Leases another instance that has capacity now, unless `isNeeded` is false by then. Resolves to whether it has.
  private async findAlternative (current: InstanceLease, isNeeded: () => boolean): Promise<boolean> {
    if (!this.hasAlternative(current)) return false
    const excluded = new Set([...this.usedInstanceIds, current.instance.description.id])
    try {
      const lease = await this.requestLease(alternativeOptions, excluded)
      if (!isNeeded()) {
        lease.release()
        return false
      }
      this.alternative = lease
      return true
    } catch (error) {
      if (error instanceof RefusedError) return false
      throw error
    }
  }

  /// Whether the call may be sent to another instance if its attempt at this one fails.
  hasAlternative ({ instance }: InstanceLease): boolean {
    const { route, serviceName } = this.routed
    if (this.sentCount + 1 >= route.maxInstances) return false
    return this.context.placement.hasInstance(serviceName, new Set([...this.usedInstanceIds, instance.description.id]))
  }

  /// Whether the call may be retried on another instance, given the result of its last attempt. A call that may have
  /// run is retried only if `mayRunTwice`.
  mayRetry (result: AttemptResult, mayRunTwice: boolean): boolean {
    if (this.routed.signal.aborted) return false
    if (result.kind === 'unsent') return this.unsentCount < maxUnsentAttempts
    if (this.sentCount >= this.routed.route.maxInstances) return false
    return mayRunTwice || result.kind === 'not-run'
  }

  /// The error for a call that isn't retried. If the result of the last attempt is given, it is part of the message.
  toError (verdict: Verdict, result: AttemptResult | null): RefusedError {
    const { signal } = this.routed
    if (signal.aborted && signal.reason === AbortReason.deadline) {
      return new RefusedError(Refusal.timedOut, verdict, 'response did not complete before the deadline')
    }
    if (signal.aborted && signal.reason === AbortReason.stopping) {
      return new RefusedError(Refusal.stopping, verdict, 'the entry stopped before the response was complete')
    }
    const reason = result === null ? '' : `, last result: ${getReason(result)}`
    return new RefusedError(
      Refusal.upstreamFailed,
      verdict,
      `no usable response from upstream: ${this.sentCount} attempts sent, ${this.unsentCount} not sent${reason}`,
      upstreamFailedRetryAfterMs
    )
  }

  /// Logs the dispatch with the data that the choice of the instance was based on.
  private logDispatch ({ instance }: InstanceLease, details: AttemptOptions['details'], nowMs: number): void {
    const { call, route, workspace, configVersion } = this.routed
    this.context.log.event(Events.callDispatched, {
      callId: call.id,
      programId: call.program?.id,
      route: route.name,
      workspace: workspace?.name,
      configVersion,
      instanceId: instance.description.id,
      running: instance.running,
      othersRunning: Math.round(instance.othersRunning),
      limitPerS: instance.limit?.limitPerS,
      affinityKey: this.affinityKey ?? undefined,
      loadAgeMs: Math.round(nowMs - instance.loadReportedAtMs),
      ageMs: Math.round(nowMs - call.receivedAtMs),
      ...details
    })
  }
}

/// Whether the time that an attempt took says how fast its instance is. Errors and refusals take no work.
function isMeasurable (result: AttemptResult): boolean {
  if (result.kind === 'answer') return result.head.status >= 200 && result.head.status < 300
  return result.kind === 'stream-ended' || result.kind === 'broken'
}

function isHandled ({ kind }: AttemptResult): boolean {
  return kind === 'answer' || kind === 'stream-ended' || kind === 'unconfirmed'
}

/// Returns why an attempt ended as it did, for logs and error messages.
export function getReason (result: AttemptResult): string | number {
  if (result.kind === 'unsent' || result.kind === 'broken') return result.reason
  if (result.kind === 'unconfirmed') return `status ${result.status}, without the statement that the call did not run`
  return result.kind === 'not-run' ? result.status : result.kind
}

/// Returns the verdict on a call that ends without a complete response.
export function getVerdict (mayHaveRun: boolean): Verdict {
  return mayHaveRun ? Verdict.mayHaveRun : Verdict.notRun
}
