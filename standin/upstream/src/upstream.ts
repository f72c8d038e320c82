import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { sleep } from '#process/clock'

/// What an instance does to the requests that it gets.
export const UpstreamFault = {
  none: 'none',
  /// Refuses, with the promise that it did not run.
  full: 'full',
  /// Runs the request and closes without an answer.
  answerLost: 'answer-lost',
  /// Answers with another request's id.
  mixedUp: 'mixed-up',
  /// Breaks the answer off in the middle.
  broken: 'broken',
  /// Sends an answer without a length, which ends with its connection.
  unframed: 'unframed',
  /// Sends an answer without a length and resets its connection in the middle.
  unframedReset: 'unframed-reset',
  /// Runs the request and says nothing.
  silent: 'silent'
} as const

export type UpstreamFault = typeof UpstreamFault[keyof typeof UpstreamFault]

export interface UpstreamOptions {
  readonly id: string
  /// Events of a stream; 0 for a plain service.
  readonly eventCount: number
  readonly firstByteDelayMs: number
  readonly eventIntervalMs: number
}

/// A request that an instance has run.
export interface ExecutedRequest {
  readonly callId: string
  readonly method: string
  readonly path: string
  readonly headers: IncomingMessage['headers']
  readonly body: string
}

/// A small stand-in for an upstream instance, after the platform's published
/// protocol: a model engine that streams events, or a plain service.
export class StandinUpstream {
  fault: UpstreamFault = UpstreamFault.none
  readonly executedRequests: ExecutedRequest[] = []
  /// Between the last bytes and the reset; 0: the caller sees both at once.
  resetAfterMs = 20
  /// Called with each request that begins to run.
  onRun: (request: ExecutedRequest) => void = () => {}
  private readonly server: Server

  constructor (readonly options: UpstreamOptions) {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy())
    })
  }

  async listen (): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    const { headers, method = 'GET', url: path = '/' } = request
    const callId = String(headers['attempt-id'] ?? '')
    const expected = headers['expect-instance']
    if (expected !== undefined && expected !== this.options.id) {
      response.writeHead(421, { 'instance-id': this.options.id, 'attempt-id': callId }).end()
      return
    }
    if (this.fault === UpstreamFault.full) {
      response.writeHead(503, { 'not-executed': '1', 'attempt-id': callId }).end()
      return
    }
    const ran = { callId, method, path, headers, body: Buffer.concat(chunks).toString('utf8') }
    this.executedRequests.push(ran)
    this.onRun(ran)
    if (this.fault === UpstreamFault.silent) return
    if (this.fault === UpstreamFault.answerLost) {
      request.socket.resetAndDestroy()
      return
    }
    if (this.fault === UpstreamFault.unframedReset) {
      this.resetUnframed(request.socket, callId)
      return
    }
    const named = this.fault === UpstreamFault.mixedUp ? 'another' : callId
    const head = { 'attempt-id': named, 'server-signature': `${this.options.id}.${callId}`, 'server-load': '1,0,32' }
    if (this.options.eventCount > 0) await this.stream(request, response, head, ran)
    else await this.answer(response, head, ran)
  }

  private resetUnframed (socket: Socket, callId: string): void {
    const type = this.options.eventCount > 0 ? 'text/event-stream' : 'text/plain'
    const head = `HTTP/1.1 200 OK\r\nattempt-id: ${callId}\r\nserver-signature: s\r\ncontent-type: ${type}\r\nconnection: close\r\n\r\n`
    socket.write(`${head}id: 1\ndata: first\n\n`)
    if (this.resetAfterMs === 0) socket.resetAndDestroy()
    else setTimeout(() => socket.resetAndDestroy(), this.resetAfterMs)
  }

  private async answer (response: ServerResponse, head: Record<string, string>, ran: ExecutedRequest): Promise<void> {
    await sleep(this.options.firstByteDelayMs)
    const body = `done ${ran.path} ${ran.body}`
    if (this.fault === UpstreamFault.unframed) {
      response.removeHeader('transfer-encoding')
      response.useChunkedEncodingByDefault = false
      response.shouldKeepAlive = false
      response.writeHead(200, head).end(body)
      return
    }
    response.writeHead(200, { ...head, 'content-length': String(body.length) })
    if (this.fault === UpstreamFault.broken) {
      response.write(body.slice(0, 3), () => response.destroy())
      return
    }
    response.end(body)
  }

  private async stream (
    request: IncomingMessage,
    response: ServerResponse,
    head: Record<string,
    string>,
    ran: ExecutedRequest
  ): Promise<void> {
    await sleep(this.options.firstByteDelayMs)
    const from = Number(ran.headers['last-event-id'] ?? 0) + 1
    response.writeHead(200, { ...head, 'content-type': 'text/event-stream' })
    for (let id = from; id <= this.options.eventCount; id++) {
      if (request.socket.destroyed) return
      const event = `id: ${id}\ndata: ${this.textOf(ran, id)}\n\n`
      if (this.fault === UpstreamFault.broken && id > from + 1) {
        response.write(event.slice(0, 6), () => response.destroy())
        return
      }
      response.write(event)
      await sleep(this.options.eventIntervalMs)
    }
    response.end()
  }

  /// The same prompt gives the same events at every instance.
  private textOf (ran: ExecutedRequest, id: number): string {
    return `piece ${id} after ${ran.body.length} bytes`
  }
}
