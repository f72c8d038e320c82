import type { ResponseHead } from '#connection/header'
import type { LedgerRecord } from '#connection/rpc'
import { Refusal, RefusedError, Verdict } from '#request/call'
import { EventStreamParser, TokenReservation, buildPrompt, readHistory, createTurnRecord } from '#request/turn'
import type { StreamEvent } from '#request/turn'
import { Events, formatError } from '#process/log'
import { recordCachedParts } from '#process/instances'
import type { InstanceLease } from '#process/placement'
import type { AttemptResult, StreamListener } from './attempt.js'
import type { CallerResponse, ForwardContext, RoutedCall } from './context.js'
import { Tries, reasonOf, verdictOf } from './dispatcher.js'

const maxKeepMs = 1500
/// A resumable stream goes on elsewhere after this much silence.
const silenceMs = 900
/// A turn of a program that runs may wait this share of its time for a place.
const maxWaitShare = 0.25
/// The first turn of a program may wait this share of its target latency; it
/// is better refused at once, and begun later, than run late to no credit.
const firstWaitShare = 0.1
const lineFeed = Buffer.from('\n')

/// Serves a call whose answer is a stream of events. Rejects with `RefusedError`
/// while nothing has gone to the caller; breaks the answer off after that.
export async function serveStream (routed: RoutedCall, caller: CallerResponse, context: ForwardContext): Promise<void> {
  const { call, route, service } = routed
  const tokensPerEvent = service?.engine?.tokensPerEvent ?? 1
  const mostTokens = roundUp(call.usage?.maxOutputTokens ?? 0, tokensPerEvent)
  const startedAtMs = performance.now()
  const [history, account] = await openTurn(routed, mostTokens, context)
  const storageMs = performance.now() - startedAtMs
  context.metrics.observeMs('storage', storageMs)
  const isFirst = account !== null && !account.hasOtherTurns && history.length === 0
  const turn = new Turn(routed, caller, context, history, isFirst, tokensPerEvent, storageMs)
  try {
    const isStream = await turn.run()
    if (isStream && route.keepsHistory) await turn.keep(account)
    turn.end()
  } finally {
    account?.settle(turn.tokens)
  }
}

/// Looks up the turns before and reserves the budget at the same time.
async function openTurn (
  routed: RoutedCall,
  mostTokens: number,
  context: ForwardContext
): Promise<[readonly LedgerRecord[], TokenReservation | null]> {
  const { call, route } = routed
  const [history, account] = await Promise.allSettled([
    route.keepsHistory ? readHistory(call, context.ledger, context.cache) : [],
    TokenReservation.acquire(call, route, mostTokens, context.ledger, context.log)
  ])
  if (history.status === 'rejected') {
    if (account.status === 'fulfilled') account.value?.settle(0)
    throw history.reason
  }
  if (account.status === 'rejected') throw account.reason
  return [history.value, account.value]
}

/// One turn on its way through one or more instances.
class Turn implements StreamListener {
  private readonly output: Buffer[] = []
  private readonly prompt: Buffer
  private readonly tries: Tries
  private parser = new EventStreamParser()
  private lastEventId: number
  private events = 0
  private instanceId = ''

  constructor (
    private readonly routed: RoutedCall,
    private readonly caller: CallerResponse,
    private readonly context: ForwardContext,
    private readonly history: readonly LedgerRecord[],
    private readonly isFirst: boolean,
    private readonly tokensPerEvent: number,
    private readonly storageMs: number
  ) {
    this.prompt = buildPrompt(history, routed.body)
    this.tries = new Tries(routed, context)
    this.lastEventId = routed.call.lastEventId
  }

  /// Tokens that were handed to the caller.
  get tokens (): number {
    return this.events * this.tokensPerEvent
  }

  /// Resolves to true once a stream has come to its end, to false once another answer was passed on.
  async run (): Promise<boolean> {
    const { routed, caller, context } = this
    while (true) {
      const place = await this.findPlace()
      const { id } = place.instance.description
      this.instanceId = id
      const result = await this.sendOnce(place)
      if (result.kind === 'stream-ended') {
        recordCachedParts(place.instance, routed.call.prefix.map(part => part.id))
        return true
      }
      if (result.kind === 'answer') {
        if (caller.hasStarted) throw this.broken('an answer that is no stream came instead of the rest')
        caller.respond(result.head, result.body)
        return false
      }
      if (!this.tries.mayGoOn(result, routed.route.resumable)) throw this.tries.refusal(this.verdict, result)
      context.metrics.increment('retries_total')
      context.log.event(this.events > 0 ? Events.streamResumed : Events.callRetried, {
        callId: routed.call.id,
        instanceId: id,
        result: result.kind,
        reason: reasonOf(result),
        lastEventId: this.lastEventId,
        sent: this.tries.sent
      })
    }
  }

  /// Keeps the turn. The caller's answer isn't ended before that.
  async keep (account: TokenReservation | null): Promise<void> {
    const { routed, context, caller } = this
    if (!caller.hasStarted) return
    const output = Buffer.concat(this.output)
    const record = createTurnRecord(routed.call, routed.route, routed.body, output, this.tokens, this.instanceId)
    const timeoutMs = Math.min(maxKeepMs, routed.deadlineMs - performance.now())
    const startedAtMs = performance.now()
    try {
      await context.ledger.append([record], timeoutMs)
    } catch (error) {
      throw new RefusedError(Refusal.notPersisted, Verdict.ran, formatError(error))
    }
    context.metrics.observeMs('keep', performance.now() - startedAtMs)
    context.cache.add(record)
    account?.markSettled()
  }

  end (): void {
    if (this.caller.hasStarted) this.caller.end()
  }

  onHead (head: ResponseHead): void {
    this.parser = new EventStreamParser()
    if (!this.caller.hasStarted) this.caller.startResponse(head)
  }

  onData (chunk: Buffer): void {
    const passed: Buffer[] = []
    try {
      for (const event of this.parser.push(chunk)) {
        this.take(event)
        passed.push(event.bytes)
      }
    } finally {
      // What was taken counts as handed over, also where the next event is a wrong one.
      if (passed.length > 0) this.caller.write(passed.length === 1 ? passed[0]! : Buffer.concat(passed))
    }
  }

  isComplete (): boolean {
    return !this.parser.hasPartialEvent
  }

  /// Counts an event before it goes to the caller; throws where it isn't the next one.
  private take (event: StreamEvent): void {
    if (event.id >= 0) {
      if (this.lastEventId >= 0 && event.id !== this.lastEventId + 1) {
        throw new Error(`event ${event.id} follows ${this.lastEventId}`)
      }
      this.lastEventId = event.id
    }
    if (event.data === null) return
    this.events++
    if (this.routed.route.keepsHistory) this.output.push(Buffer.from(event.data), lineFeed)
  }

  private async findPlace (): Promise<InstanceLease> {
    const previous = this.history[this.history.length - 1]
    const previousInstanceId = previous === undefined || previous.instanceId === '' ? null : previous.instanceId
    try {
      const { maxWaitMs } = this
      return await this.tries.findPlace({ previousInstanceId, isContinuing: !this.isBeginning, maxWaitMs })
    } catch (error) {
      if (this.tries.mayHaveRun) throw this.broken(formatError(error))
      throw error
    }
  }

  /// Whether its program has nothing to lose yet: no instance has had a turn of it.
  private get isBeginning (): boolean {
    return this.isFirst && this.tries.sent === 0
  }

  private get maxWaitMs (): number {
    const { deadlineMs, route } = this.routed
    if (this.isBeginning) return route.targetLatencyMs * firstWaitShare
    return (deadlineMs - performance.now()) * maxWaitShare
  }

  private sendOnce (place: InstanceLease): Promise<AttemptResult> {
    return this.tries.send(place, {
      body: this.prompt,
      lastEventId: this.lastEventId,
      listener: this,
      idleTimeoutMs: this.routed.route.resumable ? silenceMs : 0,
      details: {
        history: this.history.length,
        promptBytes: this.prompt.length,
        afterEvent: this.lastEventId,
        storageMs: Math.round(this.storageMs)
      }
    })
  }

  private broken (reason: string): RefusedError {
    return new RefusedError(Refusal.upstreamFailed, this.verdict, reason)
  }

  private get verdict (): Verdict {
    return verdictOf(this.tries.mayHaveRun || this.events > 0)
  }
}

function roundUp (tokens: number, step: number): number {
  return Math.ceil(tokens / step) * step
}
