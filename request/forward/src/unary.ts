import { RouteKind } from '#version/configuration'
import { Events } from '#process/log'
import type { InstanceLease } from '#process/placement'
import type { AttemptResult } from './attempt.js'
import type { CallerResponse, ForwardContext, RoutedCall } from './context.js'
import { CallDispatcher, getReason, getVerdict } from './dispatcher.js'

/// An idempotent call that receives no data for this multiple of its latency target is retried on another instance, if
/// one has capacity.
const idleTimeoutFactor = 4
const minIdleTimeoutMs = 250
/// Share of its remaining time that a call may wait for an instance before it is refused.
const maxWaitShare = 0.6

/// Serves a call whose response is passed on as a whole. Rejects with `RefusedError`.
export async function serveUnary (
  routed: RoutedCall,
  response: CallerResponse,
  context: ForwardContext
): Promise<void> {
  const { call, route } = routed
  const isIdempotent = route.kind === RouteKind.idempotent
  const maxIdleMs = Math.max(minIdleTimeoutMs, route.targetLatencyMs * idleTimeoutFactor)
  const idleTimeoutMs = isIdempotent ? Math.min(maxIdleMs, route.timeoutMs) : 0
  const dispatcher = new CallDispatcher(routed, context)
  let lastResponse: Extract<AttemptResult, { kind: 'answer' }> | null = null
  while (true) {
    const lease = await acquireLease(routed, dispatcher, lastResponse !== null)
    if (lease === null) break
    const hasAlternative = isIdempotent && dispatcher.hasAlternative(lease)
    const result = await dispatcher.send(lease, {
      body: [routed.body],
      lastEventId: -1,
      listener: null,
      idleTimeoutMs,
      details: {}
    })
    if (result.kind === 'answer') {
      lastResponse = result
      if (!hasAlternative || result.head.status < 500) break
    }
    if (!dispatcher.mayRetry(result, isIdempotent)) break
    context.metrics.increment('retries_total')
    context.log.event(Events.callRetried, {
      callId: call.id,
      instanceId: lease.instance.description.id,
      result: result.kind,
      reason: getReason(result),
      sent: dispatcher.sentCount
    })
  }
  dispatcher.close()
  if (lastResponse !== null) response.respond(lastResponse.head, lastResponse.body)
  else throw dispatcher.toError(getVerdict(dispatcher.mayHaveRun), null)
}

/// Resolves to null if no instance can take a retry and an earlier attempt returned a response or may have run the
/// call: the call then ends with that outcome.
async function acquireLease (
  routed: RoutedCall,
  dispatcher: CallDispatcher,
  hasResponse: boolean
): Promise<InstanceLease | null> {
  try {
    const maxWaitMs = (routed.deadlineMs - performance.now()) * maxWaitShare
    return await dispatcher.acquireLease({ previousInstanceId: null, isContinuing: true, maxWaitMs })
  } catch (error) {
    if (dispatcher.mayHaveRun || hasResponse) return null
    throw error
  }
}
