import { InvalidCallError, Refusal, RefusedError, RequestMemory, Verdict } from '#request/call'
import type { Call } from '#request/call'
import { AbortReason, serveStream, serveUnary } from '#request/forward'
import type { CallerResponse, ForwardContext, RoutedCall } from '#request/forward'
import type { Exchange } from '#connection/front'
import type { HeaderCodec } from '#connection/header'
import { RouteKind, pickTarget } from '#version/configuration'
import type { RouteTable, Workspaces } from '#version/configuration'
import { Events, formatError } from '#process/log'
import type { Credit, WorkspaceQuotas } from '#process/quota'
import { CallCost } from '#process/relay'
import type { RelayOrigin } from '#process/relay'
import { assertSameWorkspace, findWorkspace } from './authentication.js'
import type { AuthenticationRequest } from './authentication.js'
import { acquireCredit, settleFailed } from './callcredit.js'
import type { CallDrain } from './calldrain.js'
import { createNoConfigurationError } from './configurationwait.js'
import type { ConfigurationWait } from './configurationwait.js'
import { ExchangeResponse } from './exchangeresponse.js'

/// The state of the entry that each exchange reads.
export interface EntryState {
  /// Null until the first configuration has been applied.
  readonly routes: RouteTable | null
  /// Whether there may be a newer configuration than the one in force.
  readonly mayBeOutdated: boolean
  readonly configurationWait: Pick<ConfigurationWait, 'wait'>
  readonly drain: Pick<CallDrain, 'assertMayStart'>
  readonly quotas: Pick<WorkspaceQuotas, 'acquire'>
  /// Whether a response closes its connection, so that the caller reconnects. `origin` is the entry that relays it.
  shouldCloseConnection (origin: RelayOrigin | null): boolean
}

/// One exchange to serve.
export interface ServedExchange {
  readonly exchange: Exchange
  /// The entry that relays the exchange's connection, null if the caller is connected to this one.
  readonly origin: RelayOrigin | null
  /// Aborting it ends the call.
  readonly controller: AbortController
}

type ServeFunction = (routed: RoutedCall, caller: CallerResponse, context: ForwardContext) => Promise<void>

const serveByKind: Readonly<Record<RouteKind, ServeFunction>> = {
  streaming: serveStream,
  idempotent: serveUnary,
  'non-idempotent': serveUnary
}

type Routing = Omit<RoutedCall, 'body' | 'memory'>

const defaultMaxBodyBytes = 1024 * 1024
const otherVersionRetryMs = 20

/// Serves one exchange until its response has ended. Never rejects.
export async function serveExchange (
  { exchange, origin, controller }: ServedExchange, state: EntryState, context: ForwardContext
): Promise<void> {
  const receivedAtMs = exchange.arrivedAtMs
  exchange.onDisconnect(() => controller.abort(AbortReason.callerDisconnected))
  const response = new ExchangeResponse(exchange, context, state, origin)
  const memory = new RequestMemory(context.requestMemory.open())
  let call: Call | null = null
  let cancelDeadline = (): void => {}
  let credit: Credit | null = null
  try {
    call = response.call = parseCall(exchange, context.codec, receivedAtMs)
    if (state.routes === null) await waitForConfiguration(call, state, controller.signal, context)
    const maxBodyBytes = state.routes?.configuration.callerLimits.maxBodyBytes ?? defaultMaxBodyBytes
    if (origin !== null) assertSameVersion(origin, state)
    const routing = routeCall(call, exchange.readAtMs, state, controller.signal)
    state.drain.assertMayStart(routing.deadlineMs, origin !== null)
    cancelDeadline = startDeadline(routing, response, controller)
    const { route, priority, deadlineMs, workspace } = routing
    const acquiring = acquireCredit(routing, state.quotas, context.admission)
    if (acquiring !== null) credit = await acquiring
    await context.admission.admit({
      call,
      route,
      priority,
      workspace: workspace?.name ?? null,
      deadlineMs,
      signal: controller.signal,
      isRelayed: origin !== null
    })
    context.serviceTime.countCall(CallCost.served)
    const routed = { ...routing, memory, body: await exchange.readBody(maxBodyBytes, memory, controller.signal) }
    context.metrics.increment(`calls_total{kind="${routed.route.kind}"}`)
    await serveByKind[routed.route.kind](routed, response, context)
    credit?.spend()
    recordCompletion(call, receivedAtMs, response, controller.signal, context)
  } catch (error) {
    settleFailed(credit, error)
    handleError(error, call, response, receivedAtMs, controller.signal, context)
  } finally {
    cancelDeadline()
    memory.close()
  }
}

/// Records a request that gets no response since its connection ended before its turn.
export function recordDropped (exchange: Exchange, { codec, log, metrics }: Pick<ForwardContext, 'codec' | 'log' | 'metrics'>): void {
  metrics.increment('requests_dropped_total')
  log.event(Events.requestDropped, {
    callId: codec.getCallId(exchange.head) ?? '',
    disconnect: exchange.disconnectCause ?? 'last-response-sent',
    durationMs: Math.round(performance.now() - exchange.arrivedAtMs)
  })
}

function parseCall (exchange: Exchange, codec: HeaderCodec, receivedAtMs: number): Call {
  try {
    return codec.parseCall(exchange.head, receivedAtMs)
  } catch (error) {
    if (!(error instanceof InvalidCallError)) throw error
    throw new RefusedError(Refusal.invalid, Verdict.notRun, error.message)
  }
}

async function waitForConfiguration (
  call: Call, { configurationWait }: EntryState, signal: AbortSignal, { metrics }: ForwardContext
): Promise<void> {
  metrics.increment('calls_held_total')
  await configurationWait.wait(call, signal)
}

function routeCall (call: Call, readAtMs: number, state: EntryState, signal: AbortSignal): Routing {
  const { routes } = state
  if (routes === null) throw createNoConfigurationError()
  const route = routes.find(call.host, call.path)
  if (route === null) throw new RefusedError(Refusal.noRoute, Verdict.notRun, `no route in configuration version ${routes.configuration.version} matches the host and path`)
  const { workspaces } = routes.configuration
  const createRequest = (current: Workspaces | null): AuthenticationRequest => ({
    key: call.bearerKey,
    isPublic: route.isPublic,
    workspaces: current,
    get mayBeOutdated () { return state.mayBeOutdated }
  })
  const workspace = findWorkspace(createRequest(workspaces))
  const serviceName = pickTarget(route, call.program?.id ?? call.id)
  const timeoutMs = Math.min(call.callerTimeoutMs, route.timeoutMs)
  return {
    call,
    route,
    serviceName,
    service: routes.configuration.services.get(serviceName) ?? null,
    workspace,
    hasWorkspaces: workspaces !== null,
    assertAuthorized: () => {
      if (workspace === null || state.routes === null) return
      assertSameWorkspace(workspace, createRequest(state.routes.configuration.workspaces))
    },
    priority: workspace?.priority ?? route.priority,
    configVersion: routes.configuration.version,
    deadlineMs: call.receivedAtMs + timeoutMs,
    lastDeadlineMs: Math.max(call.receivedAtMs, readAtMs) + timeoutMs,
    signal
  }
}

/// Ends the call at its deadline, but a response that has started only once the caller's time is over in any case.
/// Returns a function that cancels this.
function startDeadline (
  { deadlineMs, lastDeadlineMs }: Routing, response: ExchangeResponse, controller: AbortController
): () => void {
  const abort = (): void => controller.abort(AbortReason.deadline)
  const startTimer = (atMs: number, callback: () => void): ReturnType<typeof setTimeout> => {
    // A timer of a fraction of a millisecond fires before that time.
    return setTimeout(callback, Math.ceil(atMs - performance.now()))
  }
  let timer = startTimer(deadlineMs, () => {
    if (response.hasStarted) timer = startTimer(lastDeadlineMs, abort)
    else abort()
  })
  return () => clearTimeout(timer)
}

/// A caller must not see an older configuration after a newer one, whichever entry serves its calls.
function assertSameVersion ({ entry, configVersion }: RelayOrigin, { routes }: EntryState): void {
  const ownVersion = routes?.configuration.version ?? null
  if (ownVersion === configVersion) return
  const message = `${entry} relays the connection under configuration version ${configVersion}, version ${ownVersion} is in force here`
  throw new RefusedError(Refusal.noConfiguration, Verdict.notRun, message, otherVersionRetryMs)
}

function recordCompletion (
  call: Call,
  receivedAtMs: number,
  response: ExchangeResponse,
  signal: AbortSignal,
  context: ForwardContext
): void {
  if (response.isBrokenOff) return
  const durationMs = performance.now() - receivedAtMs
  if (signal.aborted) {
    context.log.event(Events.callAbandoned, {
      callId: call.id,
      programId: call.program?.id,
      previousTurnId: call.previousTurnId ?? undefined,
      relayedBy: response.relayedBy,
      reason: String(signal.reason),
      disconnect: response.disconnectCause,
      durationMs: Math.round(durationMs)
    })
    return
  }
  context.metrics.observeMs('call', durationMs)
  response.onClose(() => {
    if (response.isDelivered) recordDelivered(call, receivedAtMs, response, context)
    else recordUndelivered(call, receivedAtMs, response, context)
  })
}

function recordDelivered (call: Call, receivedAtMs: number, response: ExchangeResponse, context: ForwardContext): void {
  context.metrics.increment(`answers_total{status="${response.status}"}`)
  context.log.event(Events.callFinished, response.describe(call, receivedAtMs))
}

/// Records a response that was complete here and has not been passed to the operating system whole.
function recordUndelivered (
  call: Call | null, receivedAtMs: number, response: ExchangeResponse, context: ForwardContext
): void {
  context.metrics.increment('answers_undelivered_total')
  const fields = response.describe(call, receivedAtMs)
  context.log.event(Events.answerUndelivered, { ...fields, disconnect: response.disconnectCause })
}

function handleError (
  error: unknown,
  call: Call | null,
  response: ExchangeResponse,
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
  if (response.isBrokenOff) return
  const durationMs = Math.round(performance.now() - receivedAtMs)
  const { relayedBy } = response
  const previousTurnId = call?.previousTurnId ?? undefined
  const fields = { callId: call?.id ?? '', programId: call?.program?.id, previousTurnId, relayedBy, refusal: refused.refusal, verdict: refused.verdict, reason: refused.message, durationMs }
  if (signal.aborted && signal.reason === AbortReason.callerDisconnected) {
    context.log.event(Events.callAbandoned, { ...fields, disconnect: response.disconnectCause })
    return
  }
  context.metrics.increment(`refusals_total{refusal="${refused.refusal}"}`)
  if (response.hasStarted) {
    context.log.event(Events.answerBroken, { ...fields, bytes: response.bytes })
    response.abort()
  } else {
    context.log.event(Events.callRefused, { ...fields, status: refused.status, retryAfterMs: refused.retryAfterMs })
    response.refuse(refused, call)
    response.onClose(() => { if (!response.isDelivered) recordUndelivered(call, receivedAtMs, response, context) })
  }
}
