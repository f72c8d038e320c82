import type { ResponseFields, ResponseHead, HeaderCodec } from '#connection/header'
import { UpstreamError } from '#connection/upstream'
import type { ResponseHandler, InFlightRequest } from '#connection/upstream'
import type { Call } from '#request/call'
import { recordFailure, recordLoad, recordSuccess } from '#process/instances'
import { Events, errorMessage } from '#process/log'
import type { EventLog } from '#process/log'
import type { Instance } from '#process/instances'

/// How one sending to one instance ended.
export type AttemptResult =
  | { readonly kind: 'answer', readonly head: ResponseHead, readonly body: Buffer }
  /// A stream whose events all went to the listener came to its end.
  | { readonly kind: 'stream-ended' }
  /// The instance promises that it did not run the call.
  | { readonly kind: 'not-run', readonly status: number }
  /// No byte of the call has left this process.
  | { readonly kind: 'unsent', readonly reason: string }
  /// The call may have run.
  | { readonly kind: 'broken', readonly reason: string }

/// Receives the answer of an attempt that is a stream.
export interface StreamListener {
  /// Throws where the stream can't be the rest of what came before.
  onHead (head: ResponseHead): void
  onData (chunk: Buffer): void
  /// Whether what came so far may be an end.
  isComplete (): boolean
}

export interface AttemptRequest {
  readonly call: Call
  readonly instance: Instance
  readonly codec: HeaderCodec
  readonly body: Buffer
  readonly remainingMs: number
  readonly lastEventId: number
  /// Null for calls whose answer is collected whole.
  readonly listener: StreamListener | null
  /// Ends the attempt; the reason names why.
  readonly signal: AbortSignal
  /// The attempt ends where nothing has come for this long; 0 for never.
  readonly idleTimeoutMs: number
  readonly log: EventLog
}

const statusMisdirected = 421

/// Sends a call to an instance and follows the answer. Never rejects.
export function attempt (request: AttemptRequest): Promise<AttemptResult> {
  return new Promise(resolve => {
    new Attempt(request, resolve).start()
  })
}

class Attempt implements ResponseHandler {
  private readonly chunks: Buffer[] = []
  private head: ResponseHead | null = null
  private isStream = false
  private sending: InFlightRequest | null = null
  private silence: ReturnType<typeof setTimeout> | null = null
  private isOver = false

  constructor (private readonly request: AttemptRequest, private readonly resolve: (result: AttemptResult) => void) {}

  start (): void {
    const { call, codec, instance, remainingMs, lastEventId, body, signal } = this.request
    if (signal.aborted) return this.finish({ kind: 'unsent', reason: String(signal.reason) })
    const headers = codec.writeDispatch(call, { instanceId: instance.description.id, remainingMs, lastEventId })
    signal.addEventListener('abort', this.onAbort, { once: true })
    this.restartSilence()
    try {
      this.sending = instance.client.send({ method: call.method, path: call.path, headers, body }, this)
    } catch (error) {
      this.onError(new UpstreamError(errorMessage(error), false))
    }
  }

  onHead (head: ResponseHead): void {
    const { call, codec, instance, listener } = this.request
    this.restartSilence()
    const fields = codec.readResponse(head)
    const fault = faultOf(fields, head, call)
    if (fault !== null) return this.breakOff(fault)
    if (fields.load !== null) recordLoad(instance, fields.load, performance.now())
    recordSuccess(instance)
    this.head = head
    if (fields.isNotRun || head.status === statusMisdirected) return this.finish({ kind: 'not-run', status: head.status })
    this.isStream = listener !== null && head.status === 200 && isEventStream(head)
    if (!this.isStream) return
    try {
      listener!.onHead(head)
    } catch (error) {
      this.breakOff(errorMessage(error))
    }
  }

  onData (chunk: Buffer): void {
    if (this.isOver) return
    this.restartSilence()
    if (!this.isStream) {
      this.chunks.push(chunk)
      return
    }
    try {
      this.request.listener!.onData(chunk)
    } catch (error) {
      this.breakOff(errorMessage(error))
    }
  }

  onEnd (): void {
    if (this.isOver) return
    if (this.head === null) this.breakOff('the answer has no head')
    else if (!this.isStream) this.finish({ kind: 'answer', head: this.head, body: Buffer.concat(this.chunks) })
    else if (this.request.listener!.isComplete()) this.finish({ kind: 'stream-ended' })
    else this.breakOff('the stream ended within an event')
  }

  onError (error: UpstreamError): void {
    if (this.isOver) return
    this.suspect(error.message)
    this.finish({ kind: error.mayHaveRun ? 'broken' : 'unsent', reason: error.message })
  }

  private readonly onAbort = (): void => this.breakOff(String(this.request.signal.reason))

  private breakOff (reason: string): void {
    const isSent = this.sending?.isSent ?? false
    this.finish({ kind: isSent ? 'broken' : 'unsent', reason })
    this.sending?.abort()
  }

  private suspect (reason: string): void {
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

  private restartSilence (): void {
    const { idleTimeoutMs: silenceMs } = this.request
    if (silenceMs === 0) return
    if (this.silence !== null) clearTimeout(this.silence)
    this.silence = setTimeout(() => {
      this.suspect('silent')
      this.breakOff(`silent for ${silenceMs} ms`)
    }, silenceMs)
  }

  private finish (result: AttemptResult): void {
    if (this.isOver) return
    this.isOver = true
    if (this.silence !== null) clearTimeout(this.silence)
    this.request.signal.removeEventListener('abort', this.onAbort)
    this.resolve(result)
  }
}

/// Why an answer can't be this call's, or null.
function faultOf (fields: ResponseFields, head: ResponseHead, call: Call): string | null {
  if (fields.callId !== null && fields.callId !== call.id) return `the answer is to ${fields.callId}`
  if (fields.isNotRun || head.status === statusMisdirected) return null
  if (fields.callId === null) return 'the answer names no call'
  if (fields.isEncoded) return 'the answer is encoded'
  if (head.status < 300 && !fields.isSigned) return 'the answer is not signed'
  return null
}

function isEventStream (head: ResponseHead): boolean {
  const type = head.headers['content-type']
  return typeof type === 'string' && type.startsWith('text/event-stream')
}
