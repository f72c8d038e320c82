import { InvalidCallError, Refusal, RefusedError, Verdict } from '#request/call'
import type { Call } from '#request/call'
import { AbortReason, serveStream, serveUnary } from '#request/forward'
import type { CallerResponse, ForwardContext, RoutedCall } from '#request/forward'
import type { Exchange } from '#connection/front'
import type { ResponseHead, HeaderCodec } from '#connection/header'
import { RouteKind, pickTarget } from '#version/configuration'
import type { RouteTable } from '#version/configuration'
import { Events, formatError } from '#process/log'

/// What serving needs of the process at each moment.
export interface EntryState {
  /// Null before the first configuration.
  readonly routes: RouteTable | null
  /// Callers are asked to open their next connection to another entry.
  readonly shouldCloseConnections: boolean
}

type Serve = (routed: RoutedCall, caller: CallerResponse, context: ForwardContext) => Promise<void>

const serveByKind: Readonly<Record<RouteKind, Serve>> = {
  streaming: serveStream,
  idempotent: serveUnary,
  'non-idempotent': serveUnary
}

const defaultMaxBodyBytes = 1024 * 1024
const noConfigurationRetryMs = 300

/// Serves one exchange from its head to the end of the answer. Never rejects.
export async function serveExchange (exchange: Exchange, state: EntryState, context: ForwardContext): Promise<void> {
  const receivedAtMs = performance.now()
  const stop = new AbortController()
  exchange.onDisconnect(() => stop.abort(AbortReason.callerDisconnected))
  const answer = new Answer(exchange, context.codec, state)
  let call: Call | null = null
  let timer: ReturnType<typeof setTimeout> | null = null
  try {
    call = readCall(exchange, context.codec, receivedAtMs)
    const maxBodyBytes = state.routes?.configuration.callerLimits.maxBodyBytes ?? defaultMaxBodyBytes
    const body = await exchange.readBody(maxBodyBytes)
    const routed = routeCall(call, body, state, stop.signal)
    timer = setTimeout(() => stop.abort(AbortReason.deadline), routed.deadlineMs - performance.now())
    context.metrics.increment(`calls_total{kind="${routed.route.kind}"}`)
    await serveByKind[routed.route.kind](routed, answer, context)
    noteEnd(call, receivedAtMs, answer, stop.signal, context)
  } catch (error) {
    refuse(error, call, answer, receivedAtMs, stop.signal, context)
  } finally {
    if (timer !== null) clearTimeout(timer)
  }
}

function readCall (exchange: Exchange, codec: HeaderCodec, receivedAtMs: number): Call {
  try {
    return codec.readCall(exchange.head, receivedAtMs)
  } catch (error) {
    if (!(error instanceof InvalidCallError)) throw error
    throw new RefusedError(Refusal.invalid, Verdict.notRun, error.message)
  }
}

function routeCall (call: Call, body: Buffer, state: EntryState, signal: AbortSignal): RoutedCall {
  const { routes } = state
  if (routes === null) {
    throw new RefusedError(Refusal.noConfiguration, Verdict.notRun, 'no configuration is known yet', noConfigurationRetryMs)
  }
  const route = routes.find(call.host, call.path)
  if (route === null) throw new RefusedError(Refusal.noRoute, Verdict.notRun, `no route of version ${routes.configuration.version}`)
  const serviceName = pickTarget(route, call.program?.id ?? call.id)
  return {
    call,
    route,
    serviceName,
    service: routes.configuration.services.get(serviceName) ?? null,
    configVersion: routes.configuration.version,
    body,
    deadlineMs: call.receivedAtMs + Math.min(call.callerTimeoutMs, route.timeoutMs),
    signal
  }
}

function noteEnd (
  call: Call,
  receivedAtMs: number,
  answer: Answer,
  signal: AbortSignal,
  context: ForwardContext
): void {
  const durationMs = performance.now() - receivedAtMs
  if (signal.aborted) {
    context.log.event(Events.callAbandoned, {
      callId: call.id,
      programId: call.program?.id,
      reason: String(signal.reason),
      durationMs: Math.round(durationMs)
    })
    return
  }
  context.metrics.observeMs('call', durationMs)
  context.metrics.increment(`answers_total{status="${answer.status}"}`)
  context.log.event(Events.callFinished, {
    callId: call.id,
    programId: call.program?.id,
    status: answer.status,
    bytes: answer.bytes,
    durationMs: Math.round(durationMs)
  })
}

function refuse (
  error: unknown,
  call: Call | null,
  answer: Answer,
  receivedAtMs: number,
  signal: AbortSignal,
  context: ForwardContext
): void {
  const refused = error instanceof RefusedError
    ? error
    : new RefusedError(
      Refusal.internal,
      Verdict.mayHaveRun,
      formatError(error)
    )
  if (refused !== error) context.log.event(Events.unexpectedError, { callId: call?.id ?? '', where: 'serving a call', error: formatError(error) })
  const durationMs = Math.round(performance.now() - receivedAtMs)
  const fields = { callId: call?.id ?? '', programId: call?.program?.id, refusal: refused.refusal, verdict: refused.verdict, reason: refused.message, durationMs }
  if (signal.aborted && signal.reason === AbortReason.callerDisconnected) {
    context.log.event(Events.callAbandoned, fields)
    return
  }
  context.metrics.increment(`refusals_total{refusal="${refused.refusal}"}`)
  if (answer.hasStarted) {
    context.log.event(Events.answerBroken, { ...fields, bytes: answer.bytes })
    answer.abort()
  } else {
    context.log.event(Events.callRefused, { ...fields, status: refused.status, retryAfterMs: refused.retryAfterMs })
    answer.refuse(refused, call)
  }
}

/// The caller's side of one exchange.
class Answer implements CallerResponse {
  status = 0
  bytes = 0

  constructor (
    private readonly exchange: Exchange,
    private readonly codec: HeaderCodec,
    private readonly state: EntryState
  ) {}

  get hasStarted (): boolean {
    return this.exchange.hasStarted
  }

  respond (head: ResponseHead, body: Buffer): void {
    this.status = head.status
    this.bytes = body.length
    this.exchange.respond(head.status, this.codec.filterResponseHeaders(head), body, this.state.shouldCloseConnections)
  }

  startResponse (head: ResponseHead): void {
    this.status = head.status
    this.exchange.startResponse(head.status, this.codec.filterResponseHeaders(head), this.state.shouldCloseConnections)
  }

  write (bytes: Buffer): void {
    this.bytes += bytes.length
    this.exchange.write(bytes)
  }

  end (): void {
    this.exchange.end()
  }

  abort (): void {
    this.exchange.abort()
  }

  refuse (refused: RefusedError, call: Call | null): void {
    this.status = refused.status
    const headers: Record<string, string> = {
      'content-type': 'application/json',
      ...(call === null ? {} : this.codec.writeCallId(call.id)),
      ...(refused.retryAfterMs > 0 ? { 'retry-after': String(refused.retryAfterMs / 1000) } : {})
    }
    const body = JSON.stringify({
      error: {
        code: refused.refusal,
        verdict: refused.verdict,
        message: refused.message,
        retryAfterMs: refused.retryAfterMs
      }
    })
    this.exchange.respond(
      refused.status,
      headers,
      Buffer.from(body),
      this.state.shouldCloseConnections || call === null
    )
  }
}
