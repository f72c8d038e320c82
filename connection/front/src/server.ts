import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { fastify } from 'fastify'
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import { splitAddress } from '#connection/address'
import type { Listener } from '#connection/listen'
import { findRequestProblem } from '#connection/header'
import { callAfterReading } from '#process/clock'
import { CallerConnection, ClosingReason, readArrived } from './callerconnection.js'
import { ConnectionUse } from './connectionlimit.js'
import type { ConnectionLimit, ConnectionState, HeldConnection } from './connectionlimit.js'
import { ConnectionQueue } from './connectionqueue.js'
import { Exchange } from './exchange.js'
import { RequestBacklog } from './requestbacklog.js'
import { QueuedExchange } from './queuedexchange.js'
import type { ExchangeHandlers, RequestProblem } from './queuedexchange.js'

export interface FrontOptions extends ExchangeHandlers {
  /// Called for a request that is not valid HTTP, with the parser's error code or what is wrong with the head.
  readonly onMalformed: (code: string) => void
  /// How long an event that is handled now may have waited for the event loop.
  readonly getDelayMs: () => number
  /// Called in each event loop iteration in which connections are accepted, or wait to be served, with the time since
  /// when that is so without a break, on the monotonic clock of `performance.now()`.
  readonly onAccepting: (sinceMs: number) => void
  /// Gets each connection that is accepted, and calls `serve` to have it served. Without it all are served.
  /// Returns the state of a connection that is not served here at once.
  readonly offerConnection?: (socket: Socket, serve: ServeConnection) => ConnectionState | void
  /// Bounds the open connections.
  readonly limit?: ConnectionLimit
  /// Bounds the requests that were read and wait behind others of their connections.
  readonly backlog?: RequestBacklog
  /// With a full limit new connections are closed rather than idle ones.
  readonly refusesWhenFull?: boolean
  /// Called for each connection that is closed because of what its caller does, or to make room.
  readonly onClosing?: (reason: ClosingReason) => void
  /// A client that has sent its end still gets the responses to its requests. Else it counts as disconnected.
  readonly allowsHalfOpen?: boolean
  /// While the server runs, idle connections are closed by their clients only, which know what they have sent.
  readonly leavesIdleOpen?: boolean
}

/// Serves a connection. `wasUsed`: it has had requests before, so the next one may have arrived long after its opening.
export type ServeConnection = (wasUsed: boolean) => void

/// Limits on callers that the HTTP server enforces.
export interface FrontLimits {
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

const maxHeaderBytes = 16 * 1024
/// Node warns of a leak from 11 listeners of one event on; HTTP server, framework and this package have about as many.
const maxSocketListeners = 20
/// A head of the largest size may hold thousands of fields, each of which costs time and memory.
const maxHeaderFields = 500
/// How often it is checked which heads have not arrived in time.
const headCheckIntervalMs = 1000
/// Of a server whose process has no limit of memory.
const defaultBacklogBytes = 64 * 1024 * 1024
const statusBadRequest = 400
const statusTooManyFields = 431
/// After so long without a word, a client that may close its idle connection late is asked whether it still exists.
const keepAliveDelayMs = 10_000
/// How long a server that closes accepts connections that wait.
const maxAcceptingMs = 2000
/// A head has not arrived in time.
const requestTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT'
const statusByErrorCode: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  [requestTimeoutCode]: '408 Request Timeout'
}
/// The caller has ended its side within a request.
const endWithinRequestCode = 'HPE_INVALID_EOF_STATE'
const brokenConnectionCodes: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'ETIMEDOUT'])

/// The HTTP server for callers. Node parses requests in its strict mode, which differs between its versions, so their
/// heads are checked once more. They reach `serve` unchanged, without the framework's routing and body parsing.
export class FrontServer implements Listener {
  private readonly app: FastifyInstance
  /// When connections may have been opened whose first request may have arrived with them.
  private readonly openedAtMs = new WeakMap<Socket, number>()
  /// Those that are served here.
  private readonly connections = new WeakMap<Socket, CallerConnection>()
  private readonly openSockets = new Set<Socket>()
  private readonly held = new WeakMap<Socket, AcceptedConnection>()
  private readonly queue: ConnectionQueue
  private readonly backlog: RequestBacklog
  private acceptedCount = 0
  private isClosing = false
  private isClosingIdle = false

  constructor (private readonly options: FrontOptions) {
    this.backlog = options.backlog ?? new RequestBacklog(defaultBacklogBytes)
    const serve = (request: FastifyRequest, reply: FastifyReply, done: () => void): void => {
      reply.hijack()
      this.addRequest(request.raw, reply.raw, done)
    }
    this.app = fastify({
      logger: false,
      // A request whose path the router can't decode is passed to `serve` like any other.
      frameworkErrors: (_, request, reply) => serve(request, reply, () => {}),
      forceCloseConnections: 'idle',
      // While the server closes, `serve` decides about requests of open connections.
      return503OnClosing: false,
      // Node's own response to a request without a Host field would have no place in the order of its connection.
      http: {
        maxHeaderSize: maxHeaderBytes,
        insecureHTTPParser: false,
        requireHostHeader: false,
        connectionsCheckingInterval: headCheckIntervalMs
      },
      clientErrorHandler: (error, socket) => this.handleClientError(error.code, socket as Socket)
    })
    this.queue = this.interceptConnections()
    this.app.addHook('onRequest', serve)
    this.app.all('*', () => {})
  }

  /// Returns the URL of the address that was bound; port 0 lets the operating system choose one.
  async listen (address: string): Promise<string> {
    const [host, port] = splitAddress(address)
    this.app.server.requestTimeout = 0
    return await this.app.listen({ host, port, backlog: 1024 })
  }

  onError (handle: (error: Error) => void): void {
    this.app.server.on('error', handle)
  }

  /// Node's HTTP server gets a connection only when it is to be served here.
  private interceptConnections (): ConnectionQueue {
    const { options } = this
    const server = this.app.server as Server & { httpAllowHalfOpen: boolean }
    server.httpAllowHalfOpen = options.allowsHalfOpen ?? false
    const [serve] = server.listeners('connection') as ((socket: Socket) => void)[]
    server.removeAllListeners('connection')
    const serveSocket = (socket: Socket): void => {
      const held = this.held.get(socket)
      const serveHere: ServeConnection = wasUsed => {
        if (wasUsed) this.openedAtMs.delete(socket)
        this.openConnection(socket)
        serve!.call(server, socket)
        this.forgetOpening(socket)
      }
      if (options.offerConnection === undefined) serveHere(false)
      else {
        const state = options.offerConnection(socket, serveHere)
        if (held !== undefined && typeof state === 'object') held.offered = state
      }
    }
    const queue = new ConnectionQueue({ serve: serveSocket, onIteration: options.onAccepting })
    server.on('connection', (socket: Socket) => {
      socket.setMaxListeners(maxSocketListeners)
      if (!this.hold(socket)) return
      this.openedAtMs.set(socket, performance.now() - options.getDelayMs())
      this.acceptedCount++
      queue.add(socket)
    })
    // A connection that has been idle for too long.
    server.on('timeout', (socket: Socket) => {
      if (options.leavesIdleOpen !== true) this.connections.get(socket)?.closeIfIdle().catch(() => {})
    })
    server.on('connect', (_: IncomingMessage, socket: Socket) => {
      // Node has taken its own listener off.
      socket.on('error', () => {})
      socket.resume()
      this.connections.get(socket)?.breakOff(formatEmptyResponse('501 Not Implemented'))
    })
    this.keepUnsentResponses(server)
    return queue
  }

  private openConnection (socket: Socket): void {
    if (this.options.leavesIdleOpen === true) socket.setKeepAlive(true, keepAliveDelayMs)
    const connection = new CallerConnection(socket, {
      isServerClosing: () => this.isClosing,
      onClosing: reason => this.options.onClosing?.(reason),
      backlog: this.backlog
    })
    this.connections.set(socket, connection)
    const held = this.held.get(socket)
    if (held !== undefined) held.served = connection
    this.openSockets.add(socket)
    socket.once('close', () => this.openSockets.delete(socket))
    const destroy = socket.destroy.bind(socket)
    socket.destroy = error => {
      const isIdle = !connection.isServing && !connection.isEnding
      return this.isClosingIdle && !isIdle ? socket : destroy(error)
    }
  }

  /// Returns false if the connection was closed, since there are too many.
  private hold (socket: Socket): boolean {
    const { limit, refusesWhenFull = false, onClosing } = this.options
    if (limit === undefined) return true
    const held = new AcceptedConnection(socket, refusesWhenFull, reason => onClosing?.(reason))
    if (!limit.add(held)) {
      onClosing?.(ClosingReason.tooManyConnections)
      socket.on('error', () => {})
      socket.destroy()
      return false
    }
    this.held.set(socket, held)
    socket.once('close', () => limit.remove(held))
    return true
  }

  /// Node knows on which connections no part of a request has arrived, but takes those for idle, too, whose last
  /// response has not been sent whole.
  private keepUnsentResponses (server: Server): void {
    const closeIdleConnections = server.closeIdleConnections.bind(server)
    server.closeIdleConnections = () => {
      this.isClosingIdle = true
      closeIdleConnections()
      this.isClosingIdle = false
    }
  }

  private addRequest (request: IncomingMessage, response: ServerResponse, onServed: () => void): void {
    const connection = this.connections.get(request.socket)!
    const exchange = new Exchange(request, response, this.getArrivalMs(request.socket), connection)
    // The framework sets it while it closes. Node leaves out the idle time if a header was removed that wasn't there.
    if (response.hasHeader('connection')) response.removeHeader('connection')
    const problem = this.findProblem(request)
    connection.add(new QueuedExchange(this.options, exchange, request, response, problem, onServed))
  }

  private handleClientError (code: string, socket: Socket): void {
    const connection = this.connections.get(socket)!
    const isBroken = brokenConnectionCodes.has(code)
    // The parser fails again with each further part of what can't be read.
    if (connection.isEnding && !isBroken) return
    if (isBroken || !socket.writable) {
      socket.destroy()
      return
    }
    // A response on a connection without a request would be taken for that to the next one.
    if (code === requestTimeoutCode) return this.handleLateHead(connection, socket)
    this.options.onMalformed(code)
    if (code === endWithinRequestCode && !this.options.allowsHalfOpen && connection.isServingWhole) socket.end()
    else connection.breakOff(formatEmptyResponse(statusByErrorCode[code] ?? '400 Bad Request'))
  }

  /// If this process was busy, the rest of the head may have arrived meanwhile.
  private handleLateHead (connection: CallerConnection, socket: Socket): void {
    const { requestCount } = connection
    callAfterReading(() => {
      if (connection.requestCount !== requestCount || socket.destroyed || connection.isEnding) return
      if (!connection.hasReceived) {
        if (this.options.leavesIdleOpen !== true) socket.destroy()
        return
      }
      this.options.onMalformed(requestTimeoutCode)
      connection.breakOff(formatEmptyResponse(statusByErrorCode[requestTimeoutCode]!))
    })
  }

  /// What has arrived is read by the end of the next event loop iteration; other requests arrive later.
  private forgetOpening (socket: Socket): void {
    setImmediate(() => setImmediate(() => this.openedAtMs.delete(socket)))
  }

  /// The first request of a connection may have arrived with it, and has then waited for its acceptance too.
  private getArrivalMs (socket: Socket): number {
    const arrivedAtMs = performance.now() - this.options.getDelayMs()
    const openedAtMs = this.openedAtMs.get(socket) ?? arrivedAtMs
    this.openedAtMs.delete(socket)
    return Math.min(arrivedAtMs, openedAtMs)
  }

  setLimits (limits: FrontLimits): void {
    const { server } = this.app
    server.headersTimeout = limits.headerTimeoutMs
    server.keepAliveTimeout = limits.idleTimeoutMs
  }

  private findProblem (request: IncomingMessage): RequestProblem | null {
    const { httpVersion, url, rawHeaders } = request
    const hasManyFields = rawHeaders.length > 2 * maxHeaderFields
    const reason = hasManyFields
      ? `more than ${maxHeaderFields} header fields`
      : findRequestProblem({ httpVersion, target: url ?? '', rawHeaders })
    if (reason === null) return null
    this.options.onMalformed(reason)
    if (hasManyFields) forgetFields(request)
    return { status: hasManyFields ? statusTooManyFields : statusBadRequest, reason }
  }

  /// Sends the bytes, which must be no response, before or between the responses of each open connection of which
  /// `isHeard` says that its client expects them.
  announce (bytes: Buffer, isHeard: (socket: Socket) => boolean): void {
    for (const socket of this.openSockets) if (isHeard(socket)) this.connections.get(socket)?.announce(bytes)
  }

  /// The event loop accepts one connection each time that it reads.
  private async acceptWaiting (): Promise<void> {
    const endAtMs = performance.now() + maxAcceptingMs
    let countBefore: number
    do {
      countBefore = this.acceptedCount
      await readArrived()
    } while (this.acceptedCount > countBefore && performance.now() < endAtMs)
    this.queue.close()
    await readArrived()
  }

  /// Closes the listener and all connections at once, whatever they are used for.
  async closeNow (): Promise<void> {
    this.isClosing = true
    this.queue.close()
    const closed = this.app.close()
    for (const socket of this.openSockets) socket.destroy()
    await closed
  }

  /// Stops accepting connections and closes idle ones. A process that was busy accepts and reads first what has arrived
  /// meanwhile.
  async close (): Promise<void> {
    await this.acceptWaiting()
    this.isClosing = true
    await this.app.close()
  }
}

/// They take far more memory than the request arrives with, and it is not served.
function forgetFields (request: IncomingMessage): void {
  request.headers = {}
  request.rawHeaders = []
}

/// A connection from its acceptance on: it waits to be served, is offered to others, or is served here.
class AcceptedConnection implements HeldConnection {
  served: CallerConnection | null = null
  /// Of a connection that is passed on; null before.
  offered: ConnectionState | null = null
  private readonly accepted = { use: ConnectionUse.waiting, progressAtMs: performance.now() }

  constructor (
    private readonly socket: Socket,
    private readonly isNeverClosed: boolean,
    private readonly onClosing: (reason: ClosingReason) => void
  ) {}

  get use (): ConnectionUse {
    return this.isNeverClosed ? ConnectionUse.serving : this.state.use
  }

  get progressAtMs (): number {
    return this.state.progressAtMs
  }

  private get state (): ConnectionState {
    return this.served ?? this.offered ?? this.accepted
  }

  close (): void {
    if (this.served !== null) return this.served.evict()
    this.onClosing(ClosingReason.tooManyConnections)
    this.socket.destroy()
  }
}

function formatEmptyResponse (status: string): string {
  return `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`
}
