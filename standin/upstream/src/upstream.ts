import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { sleep } from '#process/clock'

/// Faults that an instance injects into the handling of its requests.
export const UpstreamFault = {
  none: 'none',
  /// Responds with 503 and the header that says that the request was not executed.
  full: 'full',
  /// Executes the request and resets the connection without a response.
  responseLost: 'answer-lost',
  /// Responds with the id of another call.
  wrongCallId: 'mixed-up',
  /// Closes the connection in the middle of the response.
  broken: 'broken',
  /// Sends a response without a length, which ends when the connection closes.
  unframed: 'unframed',
  /// Sends a response without a length and resets the connection in the middle of it.
  unframedReset: 'unframed-reset',
  /// Executes the request and responds after a second.
  late: 'late',
  /// Executes the request and never responds.
  silent: 'silent',
  /// Responds with 500 before it has read the body, and reads that later on the same connection.
  earlyKept: 'early-kept',
  /// Responds with 500 before it has read the body, and closes the connection.
  earlyClosed: 'early-closed',
  /// Sends further bytes right after the response, on the same connection.
  trailing: 'trailing',
  /// Responds once more a little after the response, on the same connection.
  extra: 'extra',
  /// Closes its idle connections soon after a response, which doesn't say so.
  idleClosed: 'idle-closed'
} as const

export type UpstreamFault = typeof UpstreamFault[keyof typeof UpstreamFault]

const lateMs = 1000
/// Of a body, after the response to its request.
const lateReadMs = 50
const extraResponseMs = 5
const trailingBytes = 'bytes that belong to no request\r\n\r\n'

export interface UpstreamOptions {
  readonly id: string
  /// Events per stream; 0 for a service that does not stream.
  readonly eventCount: number
  readonly firstByteDelayMs: number
  readonly eventIntervalMs: number
}

/// A request that an instance has executed.
export interface ExecutedRequest {
  readonly callId: string
  readonly method: string
  readonly path: string
  readonly headers: IncomingMessage['headers']
  /// Empty while it is read after the response.
  readonly body: string
}

/// Emulates an upstream instance with the platform's published protocol: a model engine that streams events,
/// or a service that does not stream.
export class StandinUpstream {
  fault: UpstreamFault = UpstreamFault.none
  readonly executedRequests: ExecutedRequest[] = []
  /// How many requests were refused because the instance was full.
  refusedCount = 0
  /// How many requests had no whole response when their connection closed.
  abortedCount = 0
  /// Requests a second that the instance takes from all callers together and names in its responses; null for no limit.
  requestLimitPerS: number | null = null
  /// Whether its responses say that it will stop.
  isLeaving = false
  /// Delay of the reset after the last bytes; with 0 the client sees both at once.
  resetAfterMs = 20
  /// How long a connection is idle before `idleClosed` closes it.
  idleCloseMs = 20
  /// Called when a request starts to execute.
  onRun: (request: ExecutedRequest) => void = () => {}
  /// Called when the response to an executed request was sent, or its connection closed before.
  onDone: (request: ExecutedRequest) => void = () => {}
  /// Called before the instance itself breaks off an executed request, by its fault.
  onBreakOff: (request: ExecutedRequest) => void = () => {}
  /// Delay after an event of a stream.
  getEventIntervalMs: (request: ExecutedRequest, eventId: number) => number = () => this.options.eventIntervalMs
  private readonly server: Server
  private readonly inProgress = new Set<ExecutedRequest>()
  /// Connections with a request in progress.
  private readonly busySockets = new Set<Socket>()

  constructor (readonly options: UpstreamOptions) {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy())
    })
  }

  /// Listens at a free port without one.
  async listen (port = 0): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(port, '127.0.0.1', resolve))
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /// How many requests are in progress.
  get busyCount (): number {
    return this.busySockets.size
  }

  /// Notes that the requests in progress are broken off.
  breakOffAll (): void {
    for (const request of this.inProgress) this.onBreakOff(request)
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { socket } = request
    this.busySockets.add(socket)
    response.on('close', () => this.busySockets.delete(socket))
    const isEarly = this.fault === UpstreamFault.earlyKept || this.fault === UpstreamFault.earlyClosed
    const body = isEarly ? '' : await readBody(request)
    const { headers, method = 'GET', url: path = '/' } = request
    const callId = String(headers['attempt-id'] ?? '')
    const expected = headers['expect-instance']
    if (expected !== undefined && expected !== this.options.id) {
      response.writeHead(421, { 'instance-id': this.options.id, 'attempt-id': callId }).end()
      return
    }
    if (this.fault === UpstreamFault.full) {
      this.refusedCount++
      response.writeHead(503, { 'not-executed': '1', 'attempt-id': callId, ...this.leavingHeader }).end()
      return
    }
    const executed = { callId, method, path, headers, body }
    this.executedRequests.push(executed)
    this.inProgress.add(executed)
    response.on('close', () => {
      this.inProgress.delete(executed)
      if (!response.writableFinished) this.abortedCount++
      this.onDone(executed)
    })
    response.on('finish', () => this.handleResponded(socket, callId))
    this.onRun(executed)
    if (this.fault === UpstreamFault.silent) return
    if (isEarly) {
      // A stream that has begun can't go on with a failure.
      if (headers['last-event-id'] !== undefined) this.onBreakOff(executed)
      executed.body = await this.respondEarly(request, response, callId)
      return
    }
    if (this.fault === UpstreamFault.late) await sleep(lateMs)
    if (this.fault === UpstreamFault.responseLost) {
      this.onBreakOff(executed)
      request.socket.resetAndDestroy()
      return
    }
    if (this.fault === UpstreamFault.unframedReset) {
      this.onBreakOff(executed)
      this.sendUnframedAndReset(request.socket, callId)
      return
    }
    const echoedId = this.fault === UpstreamFault.wrongCallId ? 'another' : callId
    const responseHeaders = {
      'attempt-id': echoedId,
      'server-signature': `${this.options.id}.${callId}`,
      'server-load': '1,0,32',
      ...(this.requestLimitPerS === null ? {} : { 'server-limit': this.requestLimitPerS.toFixed(1) }),
      ...this.leavingHeader,
      // Without this, Node says how long it keeps the connection.
      ...(this.fault === UpstreamFault.idleClosed ? { connection: 'keep-alive' } : {})
    }
    if (this.options.eventCount > 0) await this.stream(request, response, responseHeaders, executed)
    else await this.respond(response, responseHeaders, executed)
  }

  private get leavingHeader (): Record<string, string> {
    return this.isLeaving ? { 'server-leaving': '1' } : {}
  }

  /// Resolves to the body.
  private async respondEarly (request: IncomingMessage, response: ServerResponse, callId: string): Promise<string> {
    response.shouldKeepAlive = this.fault === UpstreamFault.earlyKept
    // Otherwise Node reads and drops the body once the response has ended.
    if (response.shouldKeepAlive) request.read(0)
    const text = 'failed early'
    response.writeHead(500, {
      'attempt-id': callId, 'server-signature': `${this.options.id}.${callId}`, 'content-length': String(text.length)
    }).end(text)
    if (!response.shouldKeepAlive) return ''
    await sleep(lateReadMs)
    return await readBody(request)
  }

  /// Applies the faults that follow a whole response.
  private handleResponded (socket: Socket, callId: string): void {
    if (this.fault === UpstreamFault.trailing) socket.write(trailingBytes)
    if (this.fault === UpstreamFault.extra) setTimeout(() => socket.write(formatExtraResponse(callId)), extraResponseMs)
    if (this.fault !== UpstreamFault.idleClosed) return
    setTimeout(() => { if (!this.busySockets.has(socket)) socket.end() }, this.idleCloseMs)
  }

  private sendUnframedAndReset (socket: Socket, callId: string): void {
    const type = this.options.eventCount > 0 ? 'text/event-stream' : 'text/plain'
    const head = `HTTP/1.1 200 OK\r\nattempt-id: ${callId}\r\nserver-signature: s\r\ncontent-type: ${type}\r\nconnection: close\r\n\r\n`
    socket.write(`${head}id: 1\ndata: first\n\n`)
    if (this.resetAfterMs === 0) socket.resetAndDestroy()
    else setTimeout(() => socket.resetAndDestroy(), this.resetAfterMs)
  }

  private async respond (
    response: ServerResponse,
    responseHeaders: Record<string, string>,
    executed: ExecutedRequest
  ): Promise<void> {
    await sleep(this.options.firstByteDelayMs)
    const body = `done ${executed.path} ${executed.body}`
    if (this.fault === UpstreamFault.unframed) {
      response.removeHeader('transfer-encoding')
      response.useChunkedEncodingByDefault = false
      response.shouldKeepAlive = false
      response.writeHead(200, responseHeaders).end(body)
      return
    }
    response.writeHead(200, { ...responseHeaders, 'content-length': String(body.length) })
    if (this.fault === UpstreamFault.broken) {
      this.onBreakOff(executed)
      response.write(body.slice(0, 3), () => response.destroy())
      return
    }
    response.end(body)
  }

  private async stream (
    request: IncomingMessage,
    response: ServerResponse,
    responseHeaders: Record<string, string>,
    executed: ExecutedRequest
  ): Promise<void> {
    await sleep(this.options.firstByteDelayMs)
    const firstId = Number(executed.headers['last-event-id'] ?? 0) + 1
    response.writeHead(200, { ...responseHeaders, 'content-type': 'text/event-stream' })
    for (let id = firstId; id <= this.options.eventCount; id++) {
      if (request.socket.destroyed) return
      const event = `id: ${id}\ndata: ${this.formatEventData(executed, id)}\n\n`
      if (this.fault === UpstreamFault.broken && id > firstId + 1) {
        this.onBreakOff(executed)
        response.write(event.slice(0, 6), () => response.destroy())
        return
      }
      response.write(event)
      await sleep(this.getEventIntervalMs(executed, id))
    }
    response.end()
  }

  /// Depends on the request only: every instance generates the same events for a prompt, so streams can be resumed.
  private formatEventData (executed: ExecutedRequest, id: number): string {
    return `piece ${id} after ${executed.body.length} bytes`
  }
}

async function readBody (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString('utf8')
}

function formatExtraResponse (callId: string): string {
  return `HTTP/1.1 200 OK\r\nattempt-id: ${callId}\r\nserver-signature: s\r\ncontent-length: 5\r\n\r\nextra`
}
