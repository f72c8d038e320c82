import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { sleep } from '#process/clock'

/// A request as it is written to the connection: a head, and pieces of the body with a pause before each.
export interface RawRequest {
  readonly head: string
  readonly pieces: readonly { readonly pauseMs: number, readonly bytes: string }[]
}

/// What came back on the connection.
export interface RawResponse {
  /// 0 if the connection ended before the response had a whole head.
  readonly status: number
  readonly body: string
  /// Whether the response is complete as its head says.
  readonly isComplete: boolean
  /// Whether the connection can't be used again.
  readonly isLast: boolean
  /// When the last byte of the request was written, and when the response was complete or the connection ended.
  readonly sentAtMs: number
  readonly endedAtMs: number
}

const connectTimeoutMs = 1000

/// A caller's connection to an entry, with one request at a time. It is used until the entry closes it.
export class CallerConnection {
  requests = 0
  private isClosed = false

  private constructor (private readonly socket: Socket) {
    socket.on('error', () => {})
    socket.on('close', () => { this.isClosed = true })
  }

  /// Resolves to null if no connection could be opened.
  static open (address: string): Promise<CallerConnection | null> {
    const [host, port] = address.split(':')
    return new Promise(resolve => {
      const socket = connect({ host: host!, port: Number(port), noDelay: true })
      const timer = setTimeout(() => socket.destroy(), connectTimeoutMs)
      socket.once('close', () => {
        clearTimeout(timer)
        resolve(null)
      })
      socket.on('error', () => {})
      socket.once('connect', () => {
        clearTimeout(timer)
        resolve(new CallerConnection(socket))
      })
    })
  }

  get isOpen (): boolean {
    return !this.isClosed
  }

  /// Sends a request and receives its response, or what comes of it within the time.
  async exchange (request: RawRequest, timeoutMs: number): Promise<RawResponse> {
    this.requests++
    const receiving = this.receive(timeoutMs)
    this.socket.write(request.head)
    let sentAtMs = performance.now()
    for (const { pauseMs, bytes } of request.pieces) {
      if (pauseMs > 0) await sleep(pauseMs)
      if (this.isClosed) break
      this.socket.write(bytes)
      sentAtMs = performance.now()
    }
    return { ...await receiving, sentAtMs }
  }

  close (): void {
    this.socket.destroy()
  }

  private receive (timeoutMs: number): Promise<Omit<RawResponse, 'sentAtMs'>> {
    const { socket } = this
    return new Promise(resolve => {
      let received = ''
      const finish = (isTimedOut: boolean): void => {
        clearTimeout(timer)
        socket.off('data', onData)
        socket.off('close', onClose)
        const response = parseResponse(received)
        const isLast = isTimedOut || this.isClosed || !response.isComplete || /^connection: close\r$/im.test(received)
        resolve({ ...response, isLast, endedAtMs: performance.now() })
      }
      const onData = (chunk: Buffer): void => {
        received += chunk.toString('latin1')
        if (parseResponse(received).isComplete) finish(false)
      }
      const onClose = (): void => finish(false)
      const timer = setTimeout(() => finish(true), timeoutMs)
      socket.on('data', onData)
      socket.on('close', onClose)
      if (this.isClosed) finish(false)
    })
  }
}

function parseResponse (received: string): Pick<RawResponse, 'status' | 'body' | 'isComplete'> {
  const headEnd = received.indexOf('\r\n\r\n')
  if (headEnd < 0) return { status: 0, body: '', isComplete: false }
  const head = received.slice(0, headEnd + 2)
  const status = Number(head.split(' ')[1])
  const rest = received.slice(headEnd + 4)
  const length = /^content-length: (\d+)\r$/im.exec(head)
  if (length !== null) return { status, body: rest, isComplete: rest.length >= Number(length[1]) }
  return { status, ...joinChunks(rest) }
}

function joinChunks (text: string): { body: string, isComplete: boolean } {
  let body = ''
  for (let at = 0; ;) {
    const lineEnd = text.indexOf('\r\n', at)
    if (lineEnd < 0) return { body, isComplete: false }
    const size = Number.parseInt(text.slice(at, lineEnd), 16)
    if (size === 0) return { body, isComplete: text.startsWith('\r\n', lineEnd + 2) }
    body += text.slice(lineEnd + 2, lineEnd + 2 + size)
    at = lineEnd + 2 + size + 2
  }
}
