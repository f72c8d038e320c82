import type { Socket } from 'node:net'
import { setImmediate as setImmediatePromise } from 'node:timers/promises'
import { callAfterReading } from '#process/clock'
import { ConnectionUse } from './connectionlimit.js'
import type { BackloggedConnection, RequestBacklog } from './requestbacklog.js'
import { destroyIfStalled } from './stalledsend.js'

/// A request that was read, and gets its response in the order of its connection.
export interface PendingRequest {
  /// What it takes while it waits, in bytes of memory.
  readonly headBytes: number
  /// Whether the whole request has been read.
  readonly isRead: boolean
  /// Starts to serve the request; called at most once, and not after `drop`.
  start (): void
  /// Called instead of `start` if the connection ends before.
  drop (): void
  /// Called if the rest of the request can't be read.
  failBody (): void
  /// Called if the rest of the request has not arrived in time.
  expire (): void
  /// Calls `listener` when the response has been sent or its connection is closed.
  onClose (listener: () => void): void
}

/// Requests that wait on a connection before no more are read from it.
const maxWaitingRequests = 8
/// How long after its head a request must have arrived whole. Node bounds the time of the head.
const maxArrivalMs = 10_000
/// How long, and how much, a connection is read on after its last response (RFC 9112, section 9.6).
const lingerMs = 1000
const lingerBytes = 16 * 1024 * 1024
const lingerPollMs = 100
/// How long a caller may read nothing of a complete response that waits for it. The system reports progress in steps of
/// a megabyte or more.
const maxStalledMs = 30_000

/// Why a connection is closed before its caller ends it.
export const ClosingReason = {
  tooManyConnections: 'too-many-connections',
  tooManyRequests: 'too-many-pipelined-requests',
  slowRequest: 'request-not-whole-in-time',
  tooMuchRest: 'too-much-behind-a-response',
  /// A relayed connection.
  tooMuchMemory: 'too-much-memory'
} as const

export type ClosingReason = typeof ClosingReason[keyof typeof ClosingReason]

/// What a connection needs of the server that accepted it.
export interface CallerConnectionOptions {
  /// Whether the connection is to end with its next response.
  readonly isServerClosing: () => boolean
  readonly onClosing: (reason: ClosingReason) => void
  readonly backlog: RequestBacklog
}

/// A connection of a caller, whose requests are served one after the other (RFC 9112, section 9.3.2).
///
/// It is read on while a request is served, so that a caller that disconnects is noticed. It isn't while
/// `maxWaitingRequests` wait, or while one waits and so many have come since the connection is to end.
export class CallerConnection implements BackloggedConnection {
  private readonly waiting: PendingRequest[] = []
  private current: PendingRequest | null = null
  /// The newest request, served already or not.
  private newest: PendingRequest | null = null
  /// Whether the next response without a request behind it ends the connection.
  private isToEnd = false
  private requestsSinceToEnd = 0
  /// Whether what follows can't be read as requests.
  private isBroken = false
  /// Sent instead of a response to what can't be read; null for nothing.
  private finalResponse: string | null = null
  /// Whether no further request is served.
  isEnding = false
  private isPausedHere = false
  /// Waits to be sent.
  private announcement: Buffer | null = null
  /// Whether more requests may be in what was read with the newest one.
  private isParsing = false
  private readonly firstByte: number
  /// The next request is started in the next iteration of the event loop.
  private isStartDue = false
  /// Whether all of the current response has been written, and waits for the caller.
  private isSending = false
  private readRequests = 0
  private arrivalTimer: NodeJS.Timeout | undefined
  /// See `ConnectionState`.
  progressAtMs = performance.now()

  constructor (private readonly socket: Socket, private readonly options: CallerConnectionOptions) {
    this.firstByte = socket.bytesRead - socket.readableLength
    // Node calls it after a response that says `close`.
    socket.destroySoon = () => this.end()
    socket.on('resume', () => this.updateReading())
    socket.once('close', () => {
      clearTimeout(this.arrivalTimer)
      this.dropWaiting()
    })
  }

  private isServerClosing (): boolean {
    return this.options.isServerClosing()
  }

  get use (): ConnectionUse {
    if (this.isEnding) return ConnectionUse.waiting
    if (this.isSending) return ConnectionUse.sending
    if (this.waiting.length >= maxWaitingRequests) return ConnectionUse.pipelining
    const hasWhole = this.isServingWhole || this.waiting.some(({ isRead }) => isRead)
    return hasWhole ? ConnectionUse.serving : ConnectionUse.waiting
  }

  /// Whether a request is being served or waits, or a response has not been sent whole.
  get isServing (): boolean {
    return this.current !== null || this.waiting.length > 0
  }

  /// Whether anything has arrived.
  get hasReceived (): boolean {
    return this.socket.bytesRead > this.firstByte
  }

  /// How many requests have been read.
  get requestCount (): number {
    return this.readRequests
  }

  /// Whether a request that was read whole is being served.
  get isServingWhole (): boolean {
    return this.current?.isRead ?? false
  }

  add (request: PendingRequest): void {
    if (this.isEnding || this.socket.destroyed) return request.drop()
    this.newest = request
    this.readRequests++
    if (this.isToEnd) this.requestsSinceToEnd++
    this.waiting.push(request)
    this.options.backlog.add(this, request.headBytes)
    if (this.isParsing || this.socket.destroyed) return
    this.isParsing = true
    this.startNext()
    setImmediate(() => {
      this.isParsing = false
      this.startNext()
      this.updateReading()
      this.watchArrival()
    })
  }

  /// Calls `send` when it is known whether a request was read behind one whose response is ready.
  sendInOrder (isWantedLast: boolean, send: () => void): void {
    this.isToEnd ||= isWantedLast || this.isServerClosing()
    if (this.isToEnd && this.isParsing) setImmediate(send)
    else send()
  }

  /// Returns whether a response that starts now says that it is the last of its connection. Requests that were read
  /// behind it get their responses before.
  decideLast (isWanted: boolean): boolean {
    this.isToEnd ||= isWanted || this.isServerClosing()
    return this.isToEnd && this.waiting.length === 0
  }

  /// Called when all of a response has been written. Closes the connection if the caller stops reading it.
  watchSending (): void {
    this.isSending = true
    destroyIfStalled(this.socket, maxStalledMs)
  }

  /// Sends the bytes as soon as no request is under way, unless the connection ends with the next response.
  announce (bytes: Buffer): void {
    this.announcement = bytes
    this.sendAnnouncement()
  }

  /// Ends the connection after the responses to the requests before what can't be read, and after `response` to it. A
  /// request that was read in part gets its own response instead.
  breakOff (response: string): void {
    if (this.isBroken || this.isEnding) return
    this.isBroken = true
    this.isToEnd = true
    if (this.newest === null || this.newest.isRead) this.finalResponse = response
    else this.newest.failBody()
    this.startNext()
  }

  /// Closes the connection unless something has arrived on it that was not read yet. No response can be lost with it,
  /// and a request that crosses the close isn't read, so that its caller may send it again.
  async closeIfIdle (): Promise<void> {
    const { bytesRead } = this.socket
    await readArrived()
    if (!this.isServing && !this.isEnding && this.socket.bytesRead === bytesRead) this.socket.destroy()
  }

  close (reason: ClosingReason): void {
    if (this.socket.destroyed) return
    this.options.onClosing(reason)
    this.socket.destroy()
  }

  closeBacklogged (): void {
    this.close(ClosingReason.tooManyRequests)
  }

  /// Closes the connection to make room for another one.
  evict (): void {
    const isIdle = !this.isServing && this.newest !== null && this.newest.isRead
    if (isIdle) this.closeIfIdle().catch(() => {})
    else this.close(ClosingReason.tooManyConnections)
  }

  /// Sends the end of this side after what has been written, and reads and drops what arrives until the caller ends its
  /// side: a connection that is closed with unread bytes is reset, and the caller may lose its response.
  end (): void {
    if (this.isEnding) return
    this.isEnding = true
    this.dropWaiting()
    if (this.socket.destroyed) return
    this.socket.end(() => this.linger())
    this.watchSending()
    this.socket.resume()
  }

  private startNext (): void {
    if (this.current !== null || this.isEnding || this.isStartDue) return
    const request = this.waiting.shift()
    if (request === undefined) return this.endIfBroken()
    this.options.backlog.remove(this, request.headBytes)
    this.current = request
    request.onClose(() => this.finishRequest())
    request.start()
  }

  private finishRequest (): void {
    const isRead = this.current?.isRead ?? true
    this.current = null
    this.isSending = false
    this.progressAtMs = performance.now()
    if (this.socket.destroyed) return this.dropWaiting()
    if (!isRead) this.watchRest()
    if (this.waiting.length > 0) this.startNextSoon()
    else this.startNext()
    this.updateReading()
    this.sendAnnouncement()
    if (!this.isServing && this.isServerClosing()) this.closeIfIdle().catch(() => {})
  }

  /// Other connections come first: many requests that were read in one piece would take long together.
  private startNextSoon (): void {
    this.isStartDue = true
    setImmediate(() => {
      this.isStartDue = false
      this.startNext()
    })
  }

  /// A request that hasn't arrived whole with its head must do so in time.
  private watchArrival (): void {
    const { newest } = this
    if (newest === null || newest.isRead || this.socket.destroyed) return
    clearTimeout(this.arrivalTimer)
    this.arrivalTimer = setTimeout(() => callAfterReading(() => this.expire(newest)), maxArrivalMs)
  }

  private expire (request: PendingRequest): void {
    if (request.isRead || this.socket.destroyed || this.isEnding) return
    if (request !== this.current) return this.close(ClosingReason.slowRequest)
    this.options.onClosing(ClosingReason.slowRequest)
    this.isToEnd = true
    request.expire()
  }

  /// Behind its response, the rest of a request is read and dropped, but not without end.
  private watchRest (): void {
    const { socket, newest } = this
    const firstByte = socket.bytesRead
    const timer = setInterval(() => {
      const isOver = socket.destroyed || this.isEnding || newest !== this.newest || newest?.isRead === true
      if (isOver) clearInterval(timer)
      else if (socket.bytesRead - firstByte > lingerBytes) this.close(ClosingReason.tooMuchRest)
    }, lingerPollMs)
  }

  private sendAnnouncement (): void {
    if (this.announcement === null || this.isServing || this.isToEnd || this.isEnding || this.socket.destroyed) return
    this.socket.write(this.announcement)
    this.announcement = null
  }

  private endIfBroken (): void {
    if (!this.isBroken) return
    if (this.finalResponse !== null) this.socket.write(this.finalResponse)
    this.end()
  }

  private dropWaiting (): void {
    this.options.backlog.removeAll(this)
    for (const request of this.waiting.splice(0)) request.drop()
  }

  private updateReading (): void {
    if (this.isEnding || this.socket.destroyed) return
    if (this.isFull()) {
      this.isPausedHere = true
      this.socket.pause()
    } else if (this.isPausedHere) {
      this.isPausedHere = false
      this.socket.resume()
    }
  }

  private isFull (): boolean {
    const limit = this.requestsSinceToEnd < maxWaitingRequests ? maxWaitingRequests : 1
    return this.waiting.length >= limit
  }

  private linger (): void {
    const { socket } = this
    const firstByte = socket.bytesRead
    const endAtMs = performance.now() + lingerMs
    const timer = setInterval(() => {
      if (performance.now() >= endAtMs || socket.bytesRead - firstByte > lingerBytes) socket.destroy()
    }, lingerPollMs)
    socket.once('close', () => clearInterval(timer))
    if (socket.destroyed) clearInterval(timer)
  }
}

/// Resolves when the event loop has read what had arrived on all connections. Timers and immediates may run before it
/// next reads, so one immediate isn't enough.
export async function readArrived (): Promise<void> {
  await setImmediatePromise()
  await setImmediatePromise()
}
