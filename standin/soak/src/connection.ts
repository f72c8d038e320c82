import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { sleep } from '#process/clock'
import { noStatus, parseResponse } from './response.js'
import type { ParsedResponse } from './response.js'
import type { RequestPiece } from './sending.js'

/// When a request is sent that follows another one on its connection.
export const Following = {
  /// At once, before any response.
  pipelined: 'pipelined',
  /// While the response before it is on its way.
  overlapping: 'overlapping'
} as const

export type Following = typeof Following[keyof typeof Following]

/// How a caller gives up.
export const Leaving = {
  end: 'end',
  reset: 'reset',
  /// It ends its sending side after a whole request, and reads on until the entry ends the connection.
  halfEnd: 'half-end'
} as const

export type Leaving = typeof Leaving[keyof typeof Leaving]

export interface ExchangeOptions {
  readonly timeoutMs: number
  readonly following: Following
  /// How long after the start the caller leaves, and how; null if it waits for the responses.
  readonly leaving: { readonly way: Leaving, readonly afterMs: number } | null
}

/// What came back on the connection.
export interface RawResponse extends Omit<ParsedResponse, 'length'> {
  /// Whether a response before it had said that the connection ends.
  readonly isBehindLast: boolean
  /// When the head of a response on the connection said that it ends, null if none did.
  readonly closeSaidAtMs: number | null
  /// Whether the caller left before.
  readonly isLeft: boolean
  /// When the first and the last byte of the request were written, and when the response was complete or the connection
  /// ended.
  readonly startedAtMs: number
  readonly sentAtMs: number
  readonly endedAtMs: number
}

interface Pending {
  readonly startedAtMs: number
  sentAtMs: number
  resolve: (response: RawResponse) => void
}

const leavings: Readonly<Record<Leaving, (socket: Socket) => void>> = {
  end: socket => { socket.end(() => socket.destroy()) },
  reset: socket => { socket.resetAndDestroy() },
  'half-end': socket => { socket.end() }
}

const connectTimeoutMs = 1000
const pollIntervalMs = 4

/// A caller's connection to an entry. It is used until the entry closes it.
export class CallerConnection {
  requests = 0
  private isClosed = false
  private isLeft = false
  /// Whether a part of a request is still to be written.
  private isWriting = false
  private hasLast = false
  private closeSaidAtMs: number | null = null
  private received = ''
  /// The response before the next one.
  private before = ''
  private waiting: Pending[] = []

  private constructor (private readonly socket: Socket) {
    socket.on('error', () => {})
    socket.on('data', (chunk: Buffer) => {
      this.received += chunk.toString('latin1')
      this.deliver()
    })
    socket.on('close', () => {
      this.isClosed = true
      this.deliver()
      this.giveUp()
    })
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
    return !this.isClosed && !this.hasLast && !this.isLeft
  }

  /// Sends requests and receives their responses, or what comes of them within the time. A request of which nothing was
  /// written has null.
  async exchange (
    requests: readonly (readonly RequestPiece[])[], options: ExchangeOptions
  ): Promise<(RawResponse | null)[]> {
    let timer: ReturnType<typeof setTimeout> | undefined
    const { leaving } = options
    const leaveTimer = leaving === null ? null : setTimeout(() => this.leave(leaving.way), leaving.afterMs)
    const responses: (Promise<RawResponse> | null)[] = []
    for (const [i, pieces] of requests.entries()) {
      if (i > 0 && options.following === Following.overlapping) await this.waitForBytes()
      clearTimeout(timer)
      timer = setTimeout(() => this.close(), options.timeoutMs)
      const sent = this.isOpen ? await this.send(pieces) : null
      responses.push(sent === null ? null : sent.response)
    }
    const received = await Promise.all(responses)
    clearTimeout(timer)
    if (leaveTimer !== null) clearTimeout(leaveTimer)
    return received
  }

  close (): void {
    this.socket.destroy()
  }

  private async send (pieces: readonly RequestPiece[]): Promise<{ response: Promise<RawResponse> }> {
    this.requests++
    const pending: Pending = { startedAtMs: performance.now(), sentAtMs: performance.now(), resolve: () => {} }
    const response = new Promise<RawResponse>(resolve => { pending.resolve = resolve })
    this.waiting.push(pending)
    this.isWriting = true
    for (const { pauseMs, awaitsContinue, bytes } of pieces) {
      if (awaitsContinue === true) await this.waitForBytes(pauseMs)
      else if (pauseMs > 0) await sleep(pauseMs)
      if (this.isClosed || this.isLeft) break
      this.socket.write(bytes)
      pending.sentAtMs = performance.now()
    }
    this.isWriting = false
    // A promise inside an object isn't awaited by the one who awaits this.
    return { response }
  }

  private async waitForBytes (timeoutMs = Infinity): Promise<void> {
    const deadlineMs = performance.now() + timeoutMs
    while (this.received === '' && this.waiting.length > 0 && this.isOpen && performance.now() < deadlineMs) await sleep(pollIntervalMs)
  }

  private async leave (way: Leaving): Promise<void> {
    while (way === Leaving.halfEnd && this.isWriting && !this.isClosed) await sleep(pollIntervalMs)
    this.isLeft = true
    leavings[way](this.socket)
  }

  private deliver (): void {
    while (this.waiting.length > 0 && !this.hasLast) {
      const response = parseResponse(this.received, this.isClosed)
      if (response.isLast) this.closeSaidAtMs ??= performance.now()
      if (!response.isComplete) return
      const { before } = this
      this.before = this.received.slice(0, response.length)
      this.received = this.received.slice(response.length)
      const body = response.status === noStatus ? `${response.body}\nAFTER ${before}` : response.body
      this.settle(this.waiting.shift()!, { ...response, body }, false)
      this.hasLast = response.isLast
    }
  }

  private giveUp (): void {
    for (const [i, pending] of this.waiting.splice(0).entries()) {
      const isFirst = i === 0 && !this.hasLast
      this.settle(pending, parseResponse(isFirst ? this.received : '', true), this.hasLast)
    }
  }

  private settle (pending: Pending, { length, ...response }: ParsedResponse, isBehindLast: boolean): void {
    const { startedAtMs, sentAtMs } = pending
    const { isLeft, closeSaidAtMs } = this
    pending.resolve({
      ...response, isBehindLast, closeSaidAtMs, isLeft, startedAtMs, sentAtMs, endedAtMs: performance.now()
    })
  }
}
