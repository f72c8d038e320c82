import { RouteKind } from '#version/configuration'
import { Events } from '#process/log'
import type { InstanceLease } from '#process/placement'
import type { AttemptResult } from './attempt.js'
import type { CallerResponse, ForwardContext, RoutedCall } from './context.js'
import { Tries, reasonOf, verdictOf } from './dispatcher.js'

/// An idempotent call is sent elsewhere after this much silence, by its target latency.
const silencePerTarget = 4
const minSilenceMs = 250
/// A call that has waited longer than this share of its time is refused.
const maxWaitShare = 0.6

/// Serves a call whose answer is passed on whole. Rejects with `RefusedError`.
export async function serveUnary (routed: RoutedCall, caller: CallerResponse, context: ForwardContext): Promise<void> {
  const { call, route } = routed
  const isIdempotent = route.kind === RouteKind.idempotent
  const tries = new Tries(routed, context)
  let lastAnswer: Extract<AttemptResult, { kind: 'answer' }> | null = null
  while (true) {
    const place = await findPlace(routed, tries, lastAnswer !== null)
    if (place === null) break
    const hasAlternative = isIdempotent && tries.sent + 1 < route.maxInstances
    const silenceMs = hasAlternative ? Math.max(minSilenceMs, route.targetLatencyMs * silencePerTarget) : 0
    const { body } = routed
    const result = await tries.send(place, {
      body,
      lastEventId: -1,
      listener: null,
      idleTimeoutMs: silenceMs,
      details: {}
    })
    if (result.kind === 'answer') {
      lastAnswer = result
      if (!hasAlternative || result.head.status < 500) break
    }
    if (!tries.mayGoOn(result, isIdempotent)) break
    context.metrics.increment('retries_total')
    context.log.event(Events.callRetried, {
      callId: call.id,
      instanceId: place.instance.description.id,
      result: result.kind,
      reason: reasonOf(result),
      sent: tries.sent
    })
  }
  if (lastAnswer !== null) caller.respond(lastAnswer.head, lastAnswer.body)
  else throw tries.refusal(verdictOf(tries.mayHaveRun), null)
}

/// Null where an earlier answer or failure has to do.
async function findPlace (routed: RoutedCall, tries: Tries, hasAnswer: boolean): Promise<InstanceLease | null> {
  try {
    const maxWaitMs = (routed.deadlineMs - performance.now()) * maxWaitShare
    return await tries.findPlace({ previousInstanceId: null, isContinuing: true, maxWaitMs })
  } catch (error) {
    if (tries.mayHaveRun || hasAnswer) return null
    throw error
  }
}
