import { Pool, strictConnector } from './pool.js'
import type { Dispatcher } from './pool.js'
import type { ResponseHead } from '#connection/header'

/// A request as it goes to an instance.
export interface UpstreamRequest {
  readonly method: string
  readonly path: string
  /// Names and values alternating.
  readonly headers: readonly string[]
  readonly body: Buffer
}

/// Receives one answer. After `onError` or `onEnd` nothing more comes.
export interface ResponseHandler {
  onHead (head: ResponseHead): void
  onData (chunk: Buffer): void
  onEnd (): void
  onError (error: UpstreamError): void
}

/// A request under way. Aborting closes its connection at once.
export interface InFlightRequest {
  abort (): void
  /// Whether any of the request may have left this process.
  readonly isSent: boolean
}

/// An instance could not be reached, or its answer broke off.
export class UpstreamError extends Error {
  override readonly name = 'UpstreamError'

  constructor (message: string, readonly mayHaveRun: boolean, options?: ErrorOptions) {
    super(message, options)
  }
}

const connectTimeoutMs = 400
const idleTimeoutMs = 4000
// An instance's own idle timeout is met this much sooner, so that a request never crosses its close.
const idleMarginMs = 1000

/// The connections to one instance, one request at a time on each.
export class InstanceClient {
  private readonly pool: Pool
  private readonly line: Line = { isResetting: false }

  constructor (address: string, maxConnections: number) {
    this.pool = new Pool(`http://${address}`, {
      connections: maxConnections,
      pipelining: 1,
      connect: strictConnector(connectTimeoutMs, () => this.noteReset()),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleTimeoutMs,
      keepAliveTimeoutThreshold: idleMarginMs
    })
  }

  send (request: UpstreamRequest, sink: ResponseHandler): InFlightRequest {
    const exchange = new Exchange(sink, this.line)
    this.pool.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers as string[],
      body: request.body.length > 0 ? request.body : null
    }, exchange)
    return exchange
  }

  private noteReset (): void {
    this.line.isResetting = true
    // The library ends the answer within the same event.
    process.nextTick(() => { this.line.isResetting = false })
  }

  close (): void {
    this.pool.close().catch(() => {
      // Closing twice rejects, and the pool is closed either way.
    })
  }
}

/// Set while the library is told of the end of a connection that was reset.
interface Line {
  isResetting: boolean
}

class Exchange implements Dispatcher.DispatchHandler, InFlightRequest {
  isSent = false
  private controller: Dispatcher.DispatchController | null = null
  private isAborted = false
  private isDone = false

  constructor (private readonly sink: ResponseHandler, private readonly line: Line) {}

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

  onResponseStart (_: Dispatcher.DispatchController, status: number, headers: ResponseHead['headers']): void {
    if (status >= 200 && !this.isDone) this.sink.onHead({ status, headers })
  }

  onResponseData (_: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.isDone) this.sink.onData(chunk)
  }

  onResponseEnd (): void {
    if (this.isDone) return
    this.isDone = true
    if (this.line.isResetting) this.sink.onError(new UpstreamError('the connection was reset', true))
    else this.sink.onEnd()
  }

  onResponseError (_: Dispatcher.DispatchController, error: Error): void {
    if (this.isDone) return
    this.isDone = true
    this.sink.onError(new UpstreamError(error.message, this.isSent, { cause: error }))
  }
}
