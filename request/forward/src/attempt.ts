import type { Dispatch, ResponseFields, ResponseHead, HeaderCodec } from '#connection/header'
import { UpstreamError } from '#connection/upstream'
import type { ResponseHandler, InFlightRequest } from '#connection/upstream'
import type { Call } from '#request/call'
import { recordFailure, recordLoad, recordSuccess } from '#process/instances'
import { Events, errorMessage } from '#process/log'
import type { EventLog } from '#process/log'
import type { Instance } from '#process/instances'
import { ByteCollector } from '#process/memory'
import type { MemoryBudget, MemoryShare } from '#process/memory'
import type { RequestLimits } from '#process/requestlimit'
import { isPromise, isRefusal } from './promise.js'

/// How an attempt to run a call on an instance ended.
export type AttemptResult =
  | { readonly kind: 'answer', readonly head: ResponseHead, readonly body: Buffer }
  /// The stream ended and all its events were passed to the listener.
  | { readonly kind: 'stream-ended' }
  /// The instance guarantees that it did not run the call.
  | { readonly kind: 'not-run', readonly status: number }
  /// The status would tell the caller that the call did not run, and the instance doesn't state that. It may have run.
  | { readonly kind: 'unconfirmed', readonly status: number }
  /// No byte of the call has left this process.
  | { readonly kind: 'unsent', readonly reason: string }
  /// The attempt failed after the call was sent, so it may have run.
  | { readonly kind: 'broken', readonly reason: string }

/// Receives the response to an attempt if it is an event stream. An exception from `onHead` or `onData` fails the
/// attempt.
export interface StreamListener {
  onHead (head: ResponseHead): void
  /// Returns whether the chunk completed an event. Throws if the stream doesn't continue what the caller has received.
  onData (chunk: Buffer): boolean
  /// Whether the stream may end here, that is, not within an event.
  isComplete (): boolean
  /// Events that the caller has received, also of earlier attempts.
  readonly eventCount: number
}

/// When the parts of a response arrived, on the monotonic clock of `performance.now()`. Filled in by the attempt.
export interface ResponseTiming {
  /// Calls at the instance when the head of the response arrived, including this one; without a head, at the start.
  running: number
  /// Null without events.
  firstEventAtMs: number | null
  lastEventAtMs: number
}

export interface AttemptRequest {
  readonly call: Call
  readonly instance: Instance
  /// What the instance is told of the caller.
  readonly identity: Pick<Dispatch, 'workspace' | 'hidesCredentials'>
  readonly codec: HeaderCodec
  readonly limits: RequestLimits
  readonly body: readonly Buffer[]
  /// Time until the call's deadline, for the instance.
  readonly remainingMs: number
  /// Id of the last event that the caller has received, -1 for none.
  readonly lastEventId: number
  /// Null if the response is to be collected as a whole.
  readonly listener: StreamListener | null
  /// Aborts the attempt; its reason becomes that of the result.
  readonly signal: AbortSignal
  /// If the attempt makes no progress for this long, no data or no whole event of a stream, `findAlternative` is
  /// called; 0 for never.
  readonly idleTimeoutMs: number
  /// Resolves to whether the call can go on elsewhere at once. Only then the attempt fails: silence alone is no reason
  /// to end it. `isIdle` tells whether it is still without progress.
  readonly findAlternative: (isIdle: () => boolean) => Promise<boolean>
  readonly timing: ResponseTiming
  readonly onFirstEvent: () => void
  readonly log: EventLog
  readonly responseMemory: MemoryBudget
}

/// Of the work for a chunk, which may have a single byte, as bytes of memory.
const chunkOverheadBytes = 128
/// Sends a call to an instance and receives the response. Never rejects.
export function attempt (request: AttemptRequest): Promise<AttemptResult> {
  return new Promise(resolve => {
    new Attempt(request, resolve).start()
  })
}

class Attempt implements ResponseHandler {
  private readonly body = new ByteCollector()
  private head: ResponseHead | null = null
  private isStream = false
  private inFlight: InFlightRequest | null = null
  private idleTimer: ReturnType<typeof setTimeout> | null = null
  private isFinished = false
  private isSuspected = false
  /// Increases with each progress.
  private progress = 0
  private readonly memory: MemoryShare

  constructor (private readonly request: AttemptRequest, private readonly resolve: (result: AttemptResult) => void) {
    this.memory = request.responseMemory.open()
  }

  start (): void {
    const { call, codec, instance, identity, remainingMs, lastEventId, body, signal } = this.request
    if (signal.aborted) return this.finish({ kind: 'unsent', reason: String(signal.reason) })
    const instanceId = instance.description.id
    const headers = codec.createRequestHeaders(call, { instanceId, remainingMs, lastEventId, ...identity })
    signal.addEventListener('abort', this.onAbort, { once: true })
    this.restartIdleTimer()
    try {
      this.inFlight = instance.client.send({ method: call.method, path: call.path, headers, body }, this)
    } catch (error) {
      this.onError(new UpstreamError(errorMessage(error), false))
    }
  }

  onHead (head: ResponseHead): void {
    const { call, codec, instance, limits, listener, timing } = this.request
    this.restartIdleTimer()
    const fields = codec.parseResponse(head)
    const problem = findResponseProblem(fields, head, call)
    if (problem !== null) return this.fail(problem)
    if (fields.load !== null) recordLoad(instance, fields.load, performance.now())
    timing.running = Math.max(1, instance.running + instance.othersRunning)
    // A refusal need not name a limit that holds.
    const { requestLimitPerS } = fields
    if (requestLimitPerS !== null || !fields.isNotRun) limits.record(instance, requestLimitPerS, performance.now())
    recordSuccess(instance)
    if (fields.isLeaving) this.markLeaving()
    this.head = head
    const { status } = head
    if (isRefusal(status, fields)) return this.finish({ kind: 'not-run', status })
    if (isPromise(status, call)) return this.finish({ kind: 'unconfirmed', status })
    this.isStream = listener !== null && head.status === 200 && isEventStream(head)
    if (!this.isStream) return
    try {
      listener!.onHead(head)
    } catch (error) {
      this.fail(errorMessage(error))
    }
  }

  onData (chunk: Buffer): void {
    if (this.isFinished) return
    if (!this.memory.add(chunk.length + chunkOverheadBytes)) return this.fail('the responses that are held take too much memory')
    if (!this.isStream) {
      this.restartIdleTimer()
      this.body.add(chunk)
      return
    }
    try {
      if (this.request.listener!.onData(chunk)) this.handleEvent()
    } catch (error) {
      this.fail(errorMessage(error))
    }
  }

  onEnd (): void {
    if (this.isFinished) return
    if (this.head === null) this.fail('response ended before its head')
    else if (!this.isStream) this.finish({ kind: 'answer', head: this.head, body: this.body.toBuffer() })
    else if (this.request.listener!.isComplete()) this.finish({ kind: 'stream-ended' })
    else this.fail('stream ended within an event')
  }

  onError (error: UpstreamError): void {
    if (this.isFinished) return
    this.markSuspected(error.message)
    this.finish({ kind: error.mayHaveRun ? 'broken' : 'unsent', reason: error.message })
  }

  private handleEvent (): void {
    const { timing } = this.request
    timing.lastEventAtMs = performance.now()
    if (timing.firstEventAtMs === null) {
      timing.firstEventAtMs = timing.lastEventAtMs
      this.request.onFirstEvent()
    }
    this.restartIdleTimer()
  }

  private readonly onAbort = (): void => this.fail(String(this.request.signal.reason))

  private fail (reason: string): void {
    const isSent = this.inFlight?.isSent ?? false
    this.finish({ kind: isSent ? 'broken' : 'unsent', reason })
    this.inFlight?.abort()
  }

  private markLeaving (): void {
    const { instance, call, log } = this.request
    if (instance.isLeaving) return
    instance.isLeaving = true
    log.event(Events.instanceLeaving, { instanceId: instance.description.id, callId: call.id })
  }

  private markSuspected (reason: string): void {
    const { instance, call, log } = this.request
    const suspicionMs = recordFailure(instance, performance.now())
    const { id, address } = instance.description
    log.event(Events.instanceSuspected, {
      instanceId: id,
      address,
      callId: call.id,
      reason,
      suspicionMs,
      failures: instance.failures
    })
  }

  private restartIdleTimer (): void {
    const { idleTimeoutMs } = this.request
    if (idleTimeoutMs === 0) return
    this.progress++
    if (this.idleTimer !== null) clearTimeout(this.idleTimer)
    this.idleTimer = setTimeout(() => this.checkIdle(), idleTimeoutMs)
  }

  /// After an event loop stall, data that has already arrived is read first: timers run before it, immediates after it.
  private checkIdle (): void {
    const { progress } = this
    setImmediate(() => {
      if (!this.isFinished && this.progress === progress) this.handleIdle(progress)
    })
  }

  private async handleIdle (progress: number): Promise<void> {
    if (!this.isSuspected) this.markSuspected('silent')
    this.isSuspected = true
    const isFound = await this.request.findAlternative(() => !this.isFinished && this.progress === progress)
    if (this.isFinished) return
    if (isFound) this.fail(`no progress for ${this.request.idleTimeoutMs} ms`)
    else if (this.progress === progress) this.restartIdleTimer()
  }

  private finish (result: AttemptResult): void {
    if (this.isFinished) return
    this.isFinished = true
    if (this.idleTimer !== null) clearTimeout(this.idleTimer)
    this.memory.close()
    this.request.signal.removeEventListener('abort', this.onAbort)
    this.resolve(result)
  }
}

/// Returns why a response can't be accepted for the call, or null if it can.
function findResponseProblem (fields: ResponseFields, head: ResponseHead, call: Call): string | null {
  if (fields.callId === null) return 'response has no call id'
  if (fields.callId !== call.id) return `response is for call ${fields.callId}`
  if (isRefusal(head.status, fields)) return null
  if (fields.isEncoded) return 'response has a content encoding'
  if (head.status < 300 && !fields.isSigned) return 'response is not signed'
  return null
}

function isEventStream (head: ResponseHead): boolean {
  const type = head.headers['content-type']
  return typeof type === 'string' && type.startsWith('text/event-stream')
}
