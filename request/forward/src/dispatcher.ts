import { Refusal, RefusedError, Verdict } from '#request/call'
import { Events } from '#process/log'
import type { InstanceLease } from '#process/placement'
import { attempt } from './attempt.js'
import type { AttemptResult, StreamListener } from './attempt.js'
import { AbortReason } from './context.js'
import type { ForwardContext, RoutedCall } from './context.js'

/// What only some calls ask of the place that they go to.
export interface PlaceWish {
  readonly previousInstanceId: string | null
  readonly isContinuing: boolean
  readonly maxWaitMs: number
}

/// What is sent to the place that was found.
export interface Sending {
  readonly body: Buffer
  readonly lastEventId: number
  readonly listener: StreamListener | null
  readonly idleTimeoutMs: number
  /// Further inputs of the decision, for the log.
  readonly details: Readonly<Record<string, unknown>>
}

const maxUnsentTries = 4
const fullRetryMs = 100

/// The sendings of one call: to which instances it went, whether it may have
/// run there, and whether it may go to another one.
export class Tries {
  sent = 0
  mayHaveRun = false
  private unsent = 0
  private readonly excluded = new Set<string>()

  constructor (private readonly routed: RoutedCall, private readonly context: ForwardContext) {}

  /// Rejects with `RefusedError` where no instance may take the call in time.
  findPlace (wish: PlaceWish): Promise<InstanceLease> {
    const { call, serviceName, service, route, deadlineMs, signal } = this.routed
    return this.context.placement.acquire({
      call,
      service: serviceName,
      engine: service?.engine ?? null,
      priority: route.priority,
      excluded: this.excluded,
      deadlineMs,
      ...wish
    }, signal)
  }

  /// Sends the call to a place, which is free again afterwards. Never rejects.
  async send (place: InstanceLease, sending: Sending): Promise<AttemptResult> {
    const { routed, context } = this
    const { details, ...sent } = sending
    const { instance } = place
    const nowMs = performance.now()
    this.logDispatch(place, details, nowMs)
    const remainingMs = routed.deadlineMs - nowMs
    const { call, signal } = routed
    const { codec, log } = context
    const result = await attempt({ call, instance, codec, log, remainingMs, signal, ...sent })
    context.metrics.observeMs('instance', performance.now() - nowMs)
    place.release()
    this.excluded.add(instance.description.id)
    if (result.kind === 'unsent') this.unsent++
    else this.sent++
    if (result.kind === 'broken') this.mayHaveRun = true
    return result
  }

  /// Whether the call may go to another instance. `mayRunTwice` says whether it may where it may have run.
  mayGoOn (result: AttemptResult, mayRunTwice: boolean): boolean {
    if (this.routed.signal.aborted) return false
    if (result.kind === 'unsent') return this.unsent < maxUnsentTries
    if (this.sent >= this.routed.route.maxInstances) return false
    return mayRunTwice || result.kind === 'not-run'
  }

  /// How the call is refused once it may not go on.
  refusal (verdict: Verdict, result: AttemptResult | null): RefusedError {
    const { signal } = this.routed
    if (signal.aborted && signal.reason === AbortReason.deadline) {
      return new RefusedError(Refusal.timedOut, verdict, 'the answer did not end within the time allowed')
    }
    const reason = result === null ? '' : `, ${reasonOf(result)}`
    return new RefusedError(Refusal.upstreamFailed, verdict, `${this.sent} sent, ${this.unsent} not sent${reason}`, fullRetryMs)
  }

  /// What was decided to send the call to this instance on.
  private logDispatch ({ instance }: InstanceLease, details: Sending['details'], nowMs: number): void {
    const { call, route, configVersion } = this.routed
    this.context.log.event(Events.callDispatched, {
      callId: call.id,
      programId: call.program?.id,
      route: route.name,
      configVersion,
      instanceId: instance.description.id,
      running: instance.running,
      othersRunning: Math.round(instance.othersRunning),
      loadAgeMs: Math.round(nowMs - instance.loadReportedAtMs),
      ageMs: Math.round(nowMs - call.receivedAtMs),
      ...details
    })
  }
}

/// Why a sending ended as it did, for the log.
export function reasonOf (result: AttemptResult): string | number {
  if (result.kind === 'unsent' || result.kind === 'broken') return result.reason
  return result.kind === 'not-run' ? result.status : result.kind
}

/// The verdict on a call that was sent, as far as it is known.
export function verdictOf (mayHaveRun: boolean): Verdict {
  return mayHaveRun ? Verdict.mayHaveRun : Verdict.notRun
}
