import { Refusal, RefusedError, Verdict } from '#request/call'
import { RouteKind } from '#version/configuration'
import { Events } from '#process/log'
import type { Place } from '#process/placement'
import { attempt } from './attempt.js'
import type { AttemptResult } from './attempt.js'
import { AbortReason } from './context.js'
import type { CallerAnswer, ForwardContext, RoutedCall } from './context.js'

const maxUnsentTries = 4
const fullRetryMs = 100
/// An idempotent call is sent elsewhere after this much silence, by its target latency.
const silencePerTarget = 4
const minSilenceMs = 250
/// A call that has waited longer than this share of its time is refused.
const maxWaitShare = 0.6

/// Serves a call whose answer is passed on whole. Rejects with `RefusedError`.
export async function serveUnary (routed: RoutedCall, caller: CallerAnswer, context: ForwardContext): Promise<void> {
  const { call, route } = routed
  const isIdempotent = route.kind === RouteKind.idempotent
  const excluded = new Set<string>()
  const progress: Progress = { sent: 0, unsent: 0, mayHaveRun: false, lastAnswer: null }
  while (true) {
    const place = await findPlace(routed, excluded, progress, context)
    if (place === null) break
    const { id } = place.instance.description
    const result = await sendOnce(routed, place, isIdempotent && progress.sent + 1 < route.maxInstances, context)
    place.release()
    excluded.add(id)
    if (result.kind === 'answer') {
      progress.lastAnswer = result
      const isFinal = !isIdempotent || result.head.status < 500 || progress.sent + 1 >= route.maxInstances
      if (isFinal) break
    }
    note(result, progress)
    if (routed.signal.aborted || !mayRepeat(result, isIdempotent, progress, route.maxInstances)) break
    context.metrics.count('retries_total')
    context.log.event(Events.callRetried, {
      callId: call.id,
      instanceId: id,
      result: result.kind,
      reason: reasonOf(result),
      sent: progress.sent
    })
  }
  if (progress.lastAnswer !== null) caller.answer(progress.lastAnswer.head, progress.lastAnswer.body)
  else throw refusalOf(routed, progress)
}

interface Progress {
  sent: number
  unsent: number
  mayHaveRun: boolean
  lastAnswer: Extract<AttemptResult, { kind: 'answer' }> | null
}

/// Null where an earlier answer or failure has to do.
async function findPlace (
  routed: RoutedCall,
  excluded: ReadonlySet<string>,
  progress: Progress,
  context: ForwardContext
): Promise<Place | null> {
  try {
    return await context.placement.acquire({
      call: routed.call,
      service: routed.serviceName,
      engine: routed.service?.engine ?? null,
      priority: routed.route.priority,
      excluded,
      previousInstanceId: null,
      isContinuing: true,
      maxWaitMs: (routed.deadlineMs - performance.now()) * maxWaitShare,
      deadlineMs: routed.deadlineMs
    }, routed.signal)
  } catch (error) {
    if (progress.mayHaveRun || progress.lastAnswer !== null) return null
    throw error
  }
}

async function sendOnce (
  routed: RoutedCall,
  place: Place,
  hasAlternative: boolean,
  context: ForwardContext
): Promise<AttemptResult> {
  const { call, route } = routed
  const { instance } = place
  const nowMs = performance.now()
  const { id } = instance.description
  context.log.event(Events.callDispatched, {
    callId: call.id,
    programId: call.program?.id,
    route: route.name,
    configVersion: routed.configVersion,
    instanceId: id,
    ageMs: Math.round(nowMs - call.receivedAtMs),
    running: instance.running,
    othersRunning: Math.round(instance.othersRunning),
    loadAgeMs: Math.round(nowMs - instance.loadReadAtMs)
  })
  const silenceMs = hasAlternative ? Math.max(minSilenceMs, route.targetLatencyMs * silencePerTarget) : 0
  const result = await attempt({
    call,
    instance,
    codec: context.codec,
    log: context.log,
    body: routed.body,
    remainingMs: routed.deadlineMs - nowMs,
    lastEventId: -1,
    listener: null,
    signal: routed.signal,
    silenceMs
  })
  context.metrics.observeMs('instance', performance.now() - nowMs)
  return result
}

function note (result: AttemptResult, progress: Progress): void {
  if (result.kind === 'unsent') progress.unsent++
  else progress.sent++
  if (result.kind === 'broken') progress.mayHaveRun = true
}

function mayRepeat (result: AttemptResult, isIdempotent: boolean, progress: Progress, maxInstances: number): boolean {
  if (result.kind === 'unsent') return progress.unsent < maxUnsentTries
  if (progress.sent >= maxInstances) return false
  return isIdempotent || result.kind === 'not-run'
}

function refusalOf (routed: RoutedCall, progress: Progress): RefusedError {
  const verdict = progress.mayHaveRun ? Verdict.mayHaveRun : Verdict.notRun
  if (routed.signal.aborted && routed.signal.reason === AbortReason.deadline) {
    return new RefusedError(Refusal.timedOut, verdict, 'no answer within the time allowed')
  }
  return new RefusedError(Refusal.upstreamFailed, verdict, `${progress.sent} sent, ${progress.unsent} not sent`, fullRetryMs)
}

function reasonOf (result: AttemptResult): string | number | undefined {
  if (result.kind === 'unsent' || result.kind === 'broken') return result.reason
  return result.kind === 'not-run' ? result.status : undefined
}
