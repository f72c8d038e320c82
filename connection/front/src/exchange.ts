import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { RequestHead } from '#connection/header'
import type { RequestMemory } from '#request/call'
import { BodyReader } from './bodyreader.js'
import type { CallerConnection } from './callerconnection.js'

/// Why a response did not reach the system's send buffer whole.
export const DisconnectCause = {
  /// The caller has ended its side of the connection, or closed it.
  callerEnded: 'caller-ended',
  connectionError: 'connection-error',
  /// This process has closed the connection.
  closedHere: 'closed-here'
} as const

export type DisconnectCause = typeof DisconnectCause[keyof typeof DisconnectCause]

/// The order of the responses on a connection.
export type ResponseOrder = Pick<CallerConnection, 'sendInOrder' | 'decideLast' | 'watchSending'>

/// One request of a caller and the response to it.
export class Exchange {
  private isStarted = false
  private isAborted = false
  private wasSent = false
  private readonly closeListeners: (() => void)[] = []
  private readonly bodyReader: BodyReader
  /// When the request was read, on the monotonic clock of `performance.now()`.
  readonly readAtMs = performance.now()

  /// `arrivedAtMs`: when the request may have arrived, on the monotonic clock of `performance.now()`. It is before the
  /// request was read if the process was busy.
  constructor (
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    readonly arrivedAtMs: number,
    private readonly order: ResponseOrder
  ) {
    this.bodyReader = new BodyReader(request)
    response.on('finish', () => {
      // Node calls it finished, too, when the connection fails with a part of it unsent.
      this.wasSent = !request.socket.destroyed && request.socket.errored === null
    })
    response.on('close', () => {
      for (const listener of this.closeListeners) listener()
    })
  }

  get head (): RequestHead {
    const { method, url, headers, rawHeaders } = this.request
    return { method: method ?? 'GET', path: url ?? '/', headers, rawHeaders }
  }

  /// The connection of the request.
  get connection (): Socket {
    return this.request.socket
  }

  /// Whether the response headers have been sent or the exchange was aborted.
  get hasStarted (): boolean {
    return this.isStarted
  }

  get isFinished (): boolean {
    return this.response.writableEnded || this.response.destroyed
  }

  /// The bytes of the response that the caller has not read yet.
  get pendingBytes (): number {
    return this.response.writableLength
  }

  /// Whether the whole response has been passed to the operating system.
  get isDelivered (): boolean {
    return this.wasSent
  }

  /// Why the connection has closed, null while it is open.
  get disconnectCause (): DisconnectCause | null {
    const { socket } = this.request
    if (!socket.destroyed) return null
    if (this.isAborted) return DisconnectCause.closedHere
    if (socket.readableEnded) return DisconnectCause.callerEnded
    return socket.errored === null ? DisconnectCause.closedHere : DisconnectCause.connectionError
  }

  /// Calls `listener` when the response has been sent or its connection is closed, at once if that was before.
  onClose (listener: () => void): void {
    if (this.response.closed) listener()
    else this.closeListeners.push(listener)
  }

  /// Calls `listener` if the connection closes before the response is complete: the caller disconnected, or `abort`
  /// was called.
  onDisconnect (listener: () => void): void {
    this.closeListeners.push(() => {
      if (!this.response.writableFinished) listener()
    })
  }

  /// Rejects with `RefusedError` if the body is too large or incomplete, or there is no memory for it.
  /// Aborting `signal` ends the reading, too.
  readBody (maxBytes: number, memory: RequestMemory, signal?: AbortSignal): Promise<Buffer> {
    return this.bodyReader.read(maxBytes, memory, signal)
  }

  /// Ends the reading of a body whose rest can't be read.
  failBody (): void {
    this.bodyReader.fail()
  }

  /// Ends the reading of a body that has not arrived in time.
  expire (): void {
    this.bodyReader.expire()
  }

  /// Sends a complete response, unless one was started before. `isLast` asks the caller to use a new connection for
  /// its next request; if that has been read already, the response to it does so.
  respond (status: number, headers: ResponseHeaders, body: Buffer, isLast: boolean): void {
    if (this.isStarted || this.isFinished) return
    this.isStarted = true
    this.order.sendInOrder(isLast, () => {
      if (this.isFinished) return
      this.response.writeHead(status, this.addFraming(headers, isLast, { 'content-length': String(body.length) }))
      this.response.end(body)
      this.order.watchSending()
    })
  }

  /// Sends the headers of a response whose body follows in chunks, unless a response was started before.
  startResponse (status: number, headers: ResponseHeaders, isLast: boolean): void {
    if (this.isStarted || this.isFinished) return
    this.isStarted = true
    this.response.writeHead(status, this.addFraming(headers, isLast, {}))
    // Sent together with what is written in the same run of code.
    this.response.socket?.cork()
    this.response.flushHeaders()
    process.nextTick((socket: Socket | null) => socket?.uncork(), this.response.socket)
  }

  write (bytes: Buffer): void {
    if (this.isFinished || bytes.length === 0) return
    const { socket, chunkedEncoding } = this.response
    // A chunk in one buffer is sent for less than Node's four pieces.
    if (socket !== null && chunkedEncoding && this.response.writableLength === socket.writableLength) {
      socket.write(toChunk(bytes))
    } else {
      this.response.write(bytes)
    }
  }

  end (): void {
    if (this.isFinished) return
    this.response.end()
    this.order.watchSending()
  }

  /// Closes the connection, so that a partial response can't be taken for a complete one.
  abort (): void {
    this.isStarted = true
    this.isAborted = true
    this.response.destroy()
  }

  private addFraming (headers: ResponseHeaders, isLast: boolean, framing: Record<string, string>): ResponseHeaders {
    return this.order.decideLast(isLast) ? { ...headers, ...framing, connection: 'close' } : { ...headers, ...framing }
  }
}

export type ResponseHeaders = Record<string, string | string[]>

/// Returns the bytes as a chunk of RFC 9112, section 7.1.
function toChunk (bytes: Buffer): Buffer {
  const size = `${bytes.length.toString(16)}\r\n`
  const chunk = Buffer.allocUnsafe(size.length + bytes.length + 2)
  chunk.write(size, 'latin1')
  bytes.copy(chunk, size.length)
  chunk.write('\r\n', size.length + bytes.length, 'latin1')
  return chunk
}
