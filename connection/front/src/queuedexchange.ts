import type { IncomingMessage, ServerResponse } from 'node:http'
import type { PendingRequest } from './callerconnection.js'
import type { Exchange } from './exchange.js'
import { estimateRequestBytes } from './requestbacklog.js'

/// What becomes of an exchange.
export interface ExchangeHandlers {
  /// Handles one exchange; must not reject.
  readonly serve: (exchange: Exchange) => Promise<void>
  /// Called instead of `serve` for a request whose connection ends before its turn.
  readonly onDropped: (exchange: Exchange) => void
}

/// Why a request is refused before it is served.
export interface RequestProblem {
  readonly status: number
  readonly reason: string
}

/// An exchange that gets its turn on its connection. A request with a problem is refused in its turn.
export class QueuedExchange implements PendingRequest {
  constructor (
    private readonly handlers: ExchangeHandlers,
    private readonly exchange: Exchange,
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly problem: RequestProblem | null,
    private readonly onServed: () => void
  ) {}

  get headBytes (): number {
    return estimateRequestBytes(this.request.rawHeaders)
  }

  get isRead (): boolean {
    return this.request.complete
  }

  start (): void {
    if (this.problem === null) this.handlers.serve(this.exchange).finally(this.onServed)
    else this.response.writeHead(this.problem.status, { connection: 'close', 'content-length': '0' }).end()
  }

  drop (): void {
    this.request.resume()
    this.handlers.onDropped(this.exchange)
  }

  failBody (): void {
    this.exchange.failBody()
  }

  expire (): void {
    this.exchange.expire()
  }

  onClose (listener: () => void): void {
    this.exchange.onClose(listener)
  }
}
