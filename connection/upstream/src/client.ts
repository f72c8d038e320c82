import { Readable } from 'node:stream'
import type { ConnectionMeter } from './connectionmeter.js'
import { Pool, createConnector } from './pool.js'
import type { Dispatcher } from './pool.js'
import { findResponseHeadProblem } from '#connection/header'
import type { ResponseHead } from '#connection/header'

/// A request to an upstream instance.
export interface UpstreamRequest {
  readonly method: string
  readonly path: string
  /// Names and values alternating.
  readonly headers: readonly string[]
  /// In pieces, which are written one after the other: joining them would take as much memory once more.
  readonly body: readonly Buffer[]
}

/// Receives one response. No method is called after `onEnd` or `onError`.
export interface ResponseHandler {
  onHead (head: ResponseHead): void
  onData (chunk: Buffer): void
  onEnd (): void
  onError (error: UpstreamError): void
}

/// A request in flight. Aborting closes its connection immediately; its handler is not called any more.
export interface InFlightRequest {
  abort (): void
  /// Whether any part of the request may have been sent.
  readonly isSent: boolean
}

/// An instance could not be reached, or its response is incomplete. `mayHaveRun`
/// is false if nothing of the request was sent.
export class UpstreamError extends Error {
  override readonly name = 'UpstreamError'

  constructor (message: string, readonly mayHaveRun: boolean, options?: ErrorOptions) {
    super(message, options)
  }
}

const connectTimeoutMs = 400
const idleTimeoutMs = 4000
/// Responses with a status below 200 that may precede a response; with more it fails.
const maxInformationalResponses = 10
/// undici creates an error for each header field beyond its limit. The connection's meter ends a larger head before.
const maxHeadBytes = 1024 * 1024
/// A larger response fails, and its connection is closed.
const maxResponseBytes = 8 * 1024 * 1024
/// With more of its request unsent when its response is complete, a connection is closed: an instance that doesn't read
/// on would have it kept in memory.
const maxUnsentBytes = 64 * 1024
// Subtracted from the idle timeout that an instance announces, so that no
// request is sent on a connection that the instance is about to close.
const idleMarginMs = 1000

/// A pool of connections to one instance, each with one request at a time.
export class InstanceClient {
  private readonly pool: Pool
  private readonly state: ParsedConnection = { isResetting: false, meter: null }

  constructor (address: string, maxConnections: number) {
    this.pool = new Pool(`http://${address}`, {
      connections: maxConnections,
      pipelining: 1,
      connect: createConnector({
        timeoutMs: connectTimeoutMs,
        onReset: () => this.recordReset(),
        onRead: meter => { this.state.meter = meter }
      }),
      maxHeaderSize: maxHeadBytes,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: maxResponseBytes,
      keepAliveTimeout: idleTimeoutMs,
      keepAliveTimeoutThreshold: idleMarginMs
    })
  }

  send (request: UpstreamRequest, handler: ResponseHandler): InFlightRequest {
    const { method, path, headers, body } = request
    const pieces = body.length > 1 ? Readable.from(body, { objectMode: false }) : null
    const dispatched = new DispatchedRequest(handler, this.state, pieces)
    this.pool.dispatch({
      method: method as Dispatcher.HttpMethod,
      path,
      // undici knows the length of a single piece only.
      headers: pieces === null ? headers as string[] : [...headers, 'content-length', String(countBytes(body))],
      body: pieces ?? (countBytes(body) > 0 ? body[0]! : null)
    }, dispatched)
    return dispatched
  }

  private recordReset (): void {
    this.state.isResetting = true
    // undici reports the end of the response within the same event.
    process.nextTick(() => { this.state.isResetting = false })
  }

  close (): void {
    this.pool.close().catch(() => {
      // Rejects if the pool is closed already, which needs no handling.
    })
  }
}

function countBytes (pieces: readonly Buffer[]): number {
  return pieces.reduce((sum, { length }) => sum + length, 0)
}

/// What undici is handling now. Shared by the requests of a client.
interface ParsedConnection {
  /// Set while undici handles the end of a connection that was reset.
  isResetting: boolean
  /// Of the connection whose bytes were parsed last: while a head is reported, the one that it came on.
  meter: ConnectionMeter | null
}

class DispatchedRequest implements Dispatcher.DispatchHandler, InFlightRequest {
  isSent = false
  private controller: Dispatcher.DispatchController | null = null
  private isAborted = false
  private isDone = false
  private informationalCount = 0
  /// Of the connection that the response comes on.
  private meter: ConnectionMeter | null = null
  /// Whether the response has neither a length nor chunks.
  private endsWithConnection = false

  /// `pieces` is what of the body has not been written to the connection, null if all of it is written at once.
  constructor (
    private readonly handler: ResponseHandler,
    private readonly connection: ParsedConnection,
    private readonly pieces: Readable | null
  ) {}

  abort (): void {
    this.isAborted = true
    this.isDone = true
    this.controller?.abort(new UpstreamError('aborted', true))
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.isAborted) controller.abort(new UpstreamError('aborted', false))
    else this.isSent = true
  }

  onResponseStart (
    controller: Dispatcher.DispatchController, status: number, headers: ResponseHead['headers']
  ): void {
    if (this.isDone) return
    const problem = findResponseHeadProblem(status, headers)
    if (problem !== null) return controller.abort(new UpstreamError(`invalid response: ${problem}`, true))
    if (status >= 200) {
      this.meter = this.connection.meter
      this.meter?.countHead()
      this.endsWithConnection = headers['content-length'] === undefined && headers['transfer-encoding'] === undefined
      this.handler.onHead({ status, headers })
    } else if (++this.informationalCount > maxInformationalResponses) {
      controller.abort(new UpstreamError(`more than ${maxInformationalResponses} informational responses`, true))
    }
  }

  onResponseData (_: Dispatcher.DispatchController, chunk: Buffer): void {
    this.meter?.countBody(chunk.length)
    if (!this.isDone) this.handler.onData(chunk)
  }

  onResponseEnd (): void {
    this.meter?.restart()
    if (this.isDone) return
    this.isDone = true
    const { unsentBytes } = this
    if (this.connection.isResetting) {
      this.handler.onError(new UpstreamError('connection reset during response', true))
    } else if (this.endsWithConnection && unsentBytes > 0) {
      // The reset that the rest of the request causes may not have arrived yet.
      this.handler.onError(new UpstreamError('connection ended while the request was being sent', true))
    } else {
      this.handler.onEnd()
    }
    if (unsentBytes > maxUnsentBytes) this.meter?.close('the response came before the request was read')
  }

  private get unsentBytes (): number {
    if (this.pieces !== null && !this.pieces.readableEnded) return Infinity
    return this.meter?.unsentBytes ?? 0
  }

  onResponseError (_: Dispatcher.DispatchController, error: Error): void {
    if (this.isDone) return
    this.isDone = true
    this.handler.onError(new UpstreamError(error.message, this.isSent, { cause: error }))
  }
}
