import type { ResponseHead } from '#connection/header'
import type { LedgerRecord } from '#connection/rpc'
import { Refusal, RefusedError, Verdict } from '#request/call'
import { EventStreamParser, buildPrompt, createTurnRecord } from '#request/turn'
import type { StreamEvent, TokenReservation } from '#request/turn'
import { Events, formatError } from '#process/log'
import { recordCachedParts } from '#process/instances'
import { ByteCollector } from '#process/memory'
import type { InstanceLease } from '#process/placement'
import type { AttemptResult, StreamListener } from './attempt.js'
import type { CallerResponse, ForwardContext, RoutedCall } from './context.js'
import { CallDispatcher, getReason, getVerdict } from './dispatcher.js'
import { isFirst, prepareTurn } from './preparation.js'

/// A resumable stream that completes no event for this long is resumed on another instance, if one has capacity.
const streamIdleTimeoutMs = 900
/// Share of its remaining time that a turn of a running program may wait for an instance.
const maxWaitShare = 0.25
/// Share of the latency target that the first turn of a program may wait for an
/// instance. A program that is refused early can be started later; one that
/// completes too late uses capacity but has no value.
const newProgramWaitShare = 0.1
/// A larger stream fails. An instance may send events without end, each of which takes time to parse.
const maxStreamBytes = 2 * 1024 * 1024
const maxStreamEvents = 10_000

/// Serves a call whose response is an event stream. Rejects with `RefusedError`.
/// A response that has started by then must be aborted by the function's caller.
export async function serveStream (
  routed: RoutedCall,
  response: CallerResponse,
  context: ForwardContext
): Promise<void> {
  const { call, route, service } = routed
  const tokensPerEvent = service?.engine?.tokensPerEvent ?? 1
  const maxTokens = roundUp(call.usage?.maxOutputTokens ?? 0, tokensPerEvent)
  const startedAtMs = performance.now()
  const prepared = await prepareTurn(routed, maxTokens, context)
  const { history, reservation } = prepared
  const storageMs = performance.now() - startedAtMs
  context.metrics.observeMs('storage', storageMs)
  const isFirstTurn = reservation !== null && isFirst(prepared)
  let turn: StreamedTurn | null = null
  try {
    turn = new StreamedTurn(routed, response, context, history, isFirstTurn, tokensPerEvent, storageMs)
    const isStream = await turn.run()
    if (isStream && route.keepsHistory) await turn.store(reservation)
    turn.end()
  } finally {
    turn?.close()
    reservation?.settle(turn?.deliveredTokens ?? 0)
  }
}

/// Serves one turn on one instance after another until its stream is complete.
class StreamedTurn implements StreamListener {
  private readonly output = new ByteCollector()
  private readonly prompt: readonly Buffer[]
  private readonly promptBytes: number
  private readonly dispatcher: CallDispatcher
  private parser = new EventStreamParser()
  private lastEventId: number
  eventCount = 0
  private receivedBytes = 0
  private receivedEvents = 0
  private instanceId = ''

  constructor (
    private readonly routed: RoutedCall,
    private readonly response: CallerResponse,
    private readonly context: ForwardContext,
    private readonly history: readonly LedgerRecord[],
    private readonly isFirstTurn: boolean,
    private readonly tokensPerEvent: number,
    private readonly storageMs: number
  ) {
    this.prompt = buildPrompt(history, routed.body)
    this.promptBytes = this.prompt.reduce((sum, { length }) => sum + length, 0)
    this.dispatcher = new CallDispatcher(routed, context, this.promptBytes)
    this.lastEventId = routed.call.lastEventId
  }

  /// Tokens delivered to the caller.
  get deliveredTokens (): number {
    return this.eventCount * this.tokensPerEvent
  }

  /// Resolves to true when the stream has ended, to false when a response of another kind was passed on.
  async run (): Promise<boolean> {
    const { routed, response, context } = this
    while (true) {
      const lease = await this.acquireLease()
      const { id } = lease.instance.description
      this.instanceId = id
      const result = await this.sendTo(lease)
      if (result.kind === 'stream-ended') {
        recordCachedParts(lease.instance, routed.call.prefix.map(part => part.id))
        return true
      }
      if (result.kind === 'answer') {
        if (response.hasStarted) throw this.createUpstreamError('response to the resumption is not an event stream')
        response.respond(result.head, result.body)
        return false
      }
      if (!this.dispatcher.mayRetry(result, routed.route.resumable)) throw this.dispatcher.toError(this.verdict, result)
      context.metrics.increment('retries_total')
      context.log.event(this.eventCount > 0 ? Events.streamResumed : Events.callRetried, {
        callId: routed.call.id,
        instanceId: id,
        result: result.kind,
        reason: getReason(result),
        lastEventId: this.lastEventId,
        sent: this.dispatcher.sentCount
      })
    }
  }

  /// Stores the turn. Must complete before the response ends, so that a caller that has received the complete
  /// response can rely on the turn being stored. It is tried as long as the caller waits and the call isn't aborted.
  async store (reservation: TokenReservation | null): Promise<void> {
    const { routed, context, response } = this
    if (!response.hasStarted) return
    const startedAtMs = performance.now()
    const timeoutMs = routed.lastDeadlineMs - startedAtMs
    const record = createTurnRecord(routed.call, routed.route, routed.workspace?.name ?? null, {
      input: routed.body,
      output: this.output.toBuffer(),
      tokens: this.deliveredTokens,
      instanceId: this.instanceId,
      remainingMs: timeoutMs
    })
    try {
      response.setCommit(await unlessAborted(context.ledger.append([record], timeoutMs), routed.signal))
    } catch (error) {
      if (routed.signal.aborted) throw this.dispatcher.toError(Verdict.ran, null)
      throw new RefusedError(Refusal.notStored, Verdict.ran, formatError(error))
    }
    context.metrics.observeMs('keep', performance.now() - startedAtMs)
    context.cache.add(record)
    reservation?.markSettled()
  }

  end (): void {
    if (this.response.hasStarted) this.response.end()
  }

  close (): void {
    this.dispatcher.close()
  }

  onHead (head: ResponseHead): void {
    this.parser = new EventStreamParser()
    if (!this.response.hasStarted) this.response.startResponse(head)
  }

  onData (chunk: Buffer): boolean {
    this.receivedBytes += chunk.length
    if (this.receivedBytes > maxStreamBytes) throw new Error(`the stream is larger than ${maxStreamBytes} bytes`)
    const accepted: Buffer[] = []
    const previousCount = this.eventCount
    try {
      for (const event of this.parser.push(chunk)) {
        this.accept(event)
        accepted.push(event.bytes)
      }
    } finally {
      // Events that were counted must be sent, even if a later event of the chunk is rejected.
      if (accepted.length > 0) this.response.write(accepted.length === 1 ? accepted[0]! : Buffer.concat(accepted))
    }
    return this.eventCount > previousCount
  }

  isComplete (): boolean {
    return !this.parser.hasPartialEvent
  }

  /// Counts an event before it is sent to the caller; throws if it isn't the next one.
  private accept (event: StreamEvent): void {
    if (++this.receivedEvents > maxStreamEvents) throw new Error(`the stream has more than ${maxStreamEvents} events`)
    if (event.id >= 0) {
      if (this.lastEventId >= 0 && event.id !== this.lastEventId + 1) {
        throw new Error(`event ${event.id} does not follow event ${this.lastEventId}`)
      }
      this.lastEventId = event.id
    }
    if (event.data === null) return
    this.eventCount++
    if (this.routed.route.keepsHistory) this.output.add(Buffer.from(`${event.data}\n`))
  }

  private async acquireLease (): Promise<InstanceLease> {
    const previous = this.history[this.history.length - 1]
    const previousInstanceId = previous === undefined || previous.instanceId === '' ? null : previous.instanceId
    try {
      const { maxWaitMs } = this
      return await this.dispatcher.acquireLease({
        previousInstanceId,
        isContinuing: !this.isStartingProgram,
        maxWaitMs
      })
    } catch (error) {
      if (this.dispatcher.mayHaveRun) throw this.createUpstreamError(formatError(error))
      throw error
    }
  }

  /// Whether no instance has been sent a turn of the program yet, so that a refusal loses no work.
  private get isStartingProgram (): boolean {
    return this.isFirstTurn && this.dispatcher.sentCount === 0
  }

  private get maxWaitMs (): number {
    const { deadlineMs, route } = this.routed
    if (this.isStartingProgram) return route.targetLatencyMs * newProgramWaitShare
    return (deadlineMs - performance.now()) * maxWaitShare
  }

  private sendTo (lease: InstanceLease): Promise<AttemptResult> {
    return this.dispatcher.send(lease, {
      body: this.prompt,
      lastEventId: this.lastEventId,
      listener: this,
      idleTimeoutMs: this.routed.route.resumable ? streamIdleTimeoutMs : 0,
      details: {
        history: this.history.length,
        promptBytes: this.promptBytes,
        afterEvent: this.lastEventId,
        storageMs: Math.round(this.storageMs)
      }
    })
  }

  private createUpstreamError (reason: string): RefusedError {
    return new RefusedError(Refusal.upstreamFailed, this.verdict, reason)
  }

  private get verdict (): Verdict {
    return getVerdict(this.dispatcher.mayHaveRun || this.eventCount > 0)
  }
}

/// Settles as `promise` does, and rejects as soon as the signal is aborted.
function unlessAborted<Result> (promise: Promise<Result>, signal: AbortSignal): Promise<Result> {
  return new Promise((resolve, reject) => {
    const onAbort = (): void => reject(new Error(String(signal.reason)))
    signal.addEventListener('abort', onAbort, { once: true })
    promise.then(resolve, reject).finally(() => signal.removeEventListener('abort', onAbort))
    if (signal.aborted) onAbort()
  })
}

function roundUp (tokens: number, multiple: number): number {
  return Math.ceil(tokens / multiple) * multiple
}
