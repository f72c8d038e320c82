import type { Socket } from 'node:net'

/// So many connections are served in one iteration of the event loop.
const servedPerIteration = 8
/// After so many iterations that each accept a connection, some are served although more may wait.
const maxAcceptingIterations = 32
/// While so many wait here, or so much has been read of their requests, some are served in each iteration, and others
/// wait in the system's queue.
const maxWaiting = 1024
const maxWaitingBytes = 4 * 1024 * 1024

export interface ConnectionQueueOptions {
  readonly serve: (socket: Socket) => void
  /// Called in each iteration in which connections are accepted, or wait to be served, with the time since when that
  /// is so without a break, on the monotonic clock of `performance.now()`.
  readonly onIteration: (sinceMs: number) => void
}

/// Connections that were accepted and wait to be served. libuv accepts one connection in an iteration of the event
/// loop, and the age of what it hasn't accepted is unknown. So while each iteration accepts one, they wait here, and
/// the iterations are short.
export class ConnectionQueue {
  /// The oldest first.
  private readonly waiting: Socket[] = []
  private hasAccepted = false
  /// How many iterations in a row have accepted a connection.
  private acceptingIterations = 0
  private isIterationCounted = false
  private busySinceMs = 0
  private isClosed = false

  constructor (private readonly options: ConnectionQueueOptions) {}

  /// Serves a connection at once if the iteration before has accepted none.
  add (socket: Socket): void {
    this.hasAccepted = true
    const isFirst = this.acceptingIterations === 0 && this.waiting.length === 0
    if (isFirst) this.busySinceMs = performance.now()
    this.options.onIteration(this.busySinceMs)
    this.countIteration()
    if (isFirst || this.isClosed) return this.options.serve(socket)
    socket.on('error', ignoreError)
    this.waiting.push(socket)
  }

  /// Serves all that wait, and from now on each one at once.
  close (): void {
    this.isClosed = true
    while (this.waiting.length > 0) this.serveWaiting(this.waiting.shift()!)
  }

  private countIteration (): void {
    if (this.isIterationCounted) return
    this.isIterationCounted = true
    setImmediate(() => this.endIteration())
  }

  private endIteration (): void {
    this.isIterationCounted = false
    this.acceptingIterations = this.hasAccepted ? this.acceptingIterations + 1 : 0
    this.hasAccepted = false
    if (!this.isAccepting) this.serveSome()
    if (this.waiting.length > 0) this.options.onIteration(this.busySinceMs)
    if (this.acceptingIterations > 0 || this.waiting.length > 0) this.countIteration()
  }

  /// Whether accepting goes first.
  private get isAccepting (): boolean {
    return this.acceptingIterations % maxAcceptingIterations > 0 && this.waiting.length < maxWaiting &&
      this.waitingBytes < maxWaitingBytes
  }

  /// What has been read on connections that wait. It doesn't count in the memory of any request yet.
  private get waitingBytes (): number {
    return this.waiting.reduce((sum, { readableLength }) => sum + readableLength, 0)
  }

  /// The last one is the newest: if the others have waited for too long to be served, that one has not.
  private serveSome (): void {
    for (let i = 1; i < servedPerIteration && this.waiting.length > 0; i++) this.serveWaiting(this.waiting.shift()!)
    if (this.waiting.length > 0) this.serveWaiting(this.waiting.pop()!)
  }

  private serveWaiting (socket: Socket): void {
    socket.off('error', ignoreError)
    if (socket.destroyed) return
    // The client has left without a request, and its end isn't announced once more.
    if (socket.readableEnded) socket.destroy()
    else this.options.serve(socket)
  }
}

function ignoreError (): void {}
