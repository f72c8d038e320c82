import { connect } from 'node:net'
import type { OnReadOpts, Socket } from 'node:net'
import { BinaryWriter } from '@bufbuild/protobuf/wire'
import { errorMessage } from '#process/log'
import { FrameReader, FrameWriter, assertMessageLength, toFrame } from './frames.js'
import { Reply, Request } from './generated/ledger.js'

/// A request to a peer timed out or failed.
export class PeerError extends Error {
  override readonly name: string = 'PeerError'

  /// `isUnresponsive` is false only if the request timed out while the peer replied to others: it is slow then.
  /// `isMachineUp` if its machine refused or accepted the connection, but its process has not replied: it may be
  /// starting.
  constructor (
    message: string, readonly isUnresponsive = true, readonly isTimeout = false, readonly isMachineUp = false
  ) {
    super(message)
  }
}

/// The peer replied that it can't handle a request. It is there.
export class RequestRejectedError extends PeerError {
  override readonly name = 'RequestRejectedError'

  constructor (message: string) {
    super(message, false)
  }
}

/// A request can't be encoded, or is too large. Nothing was sent, and it says nothing about the peer.
export class MessageError extends Error {
  override readonly name = 'MessageError'
}

/// How a request waits for a slow peer.
export interface WaitOptions<Message> {
  /// The request fails before its timeout if its connection receives no reply to any request for this long.
  readonly silenceTimeoutMs: number
  /// Called if the reply arrives after such a failure, but before the timeout.
  readonly onLateReply: (reply: Message) => void
}

/// State shared by all connections to one peer.
export interface PeerLiveness {
  lastReplyMs: number
  /// Requests that timed out in a row while no connection received a reply.
  consecutiveTimeouts: number
  /// Incremented when the peer is found unresponsive; connections of an older generation are then replaced.
  generation: number
}

export function createPeerLiveness (): PeerLiveness {
  return { lastReplyMs: -Infinity, consecutiveTimeouts: 0, generation: 0 }
}

/// What is read is handled before the next chunk, of any connection.
const chunkBuffer = Buffer.alloc(64 * 1024)
/// Requests that time out in a row without any reply from the peer before the connection is replaced.
const timeoutsBeforeReplacement = 2
/// A timer that fires late by more than this shows that the event loop stalled.
const stallThresholdMs = 15
/// After a stall, replies that have already arrived get this long to be read.
const stallGraceMs = 60
/// Errors of a connection that only a machine that is up causes.
const machineUpCodes: ReadonlySet<string | undefined> = new Set(['ECONNREFUSED', 'ECONNRESET', 'EPIPE'])

export type Operation = Omit<Partial<Request>, 'number'>

interface PendingRequest {
  readonly deadlineMs: number
  readonly silenceTimeoutMs: number
  readonly onLateReply: ((reply: Reply) => void) | null
  readonly resolve: (reply: Reply) => void
  readonly reject: (error: PeerError) => void
  /// When it was sent, or when the latest check found that the peer replies.
  checkedAtMs: number
  timer: ReturnType<typeof setTimeout>
  /// It was rejected, but its reply may still arrive.
  isLate: boolean
}

/// One TCP connection to a peer, and the requests in flight on it.
export class PeerSession {
  /// Whether it takes no further requests.
  isClosing = false
  private readonly socket: Socket
  private readonly writer: FrameWriter
  private readonly pending = new Map<number, PendingRequest>()
  private lastNumber = 0
  private consecutiveTimeouts = 0
  private lastReplyMs = -Infinity
  private isConnected = false
  private hasEnded = false

  /// `onClose` is called once.
  constructor (
    private readonly address: string, private readonly liveness: PeerLiveness, private readonly onClose: () => void
  ) {
    const separator = address.lastIndexOf(':')
    const [host, port] = [address.slice(0, separator), Number(address.slice(separator + 1))]
    this.socket = connect({ host, port, noDelay: true, onread: this.createReading() })
    this.writer = new FrameWriter(this.socket, queueMicrotask)
    this.listen()
  }

  /// Rejects with `PeerError`, or with `MessageError`.
  send (operation: Operation, timeoutMs: number, wait?: WaitOptions<Reply>): Promise<Reply> {
    return new Promise((resolve, reject) => {
      const number = this.lastNumber = (this.lastNumber + 1) % 0x7fffffff
      const frame = createFrame(number, operation)
      const checkedAtMs = performance.now()
      const silenceTimeoutMs = Math.min(timeoutMs, wait?.silenceTimeoutMs ?? timeoutMs)
      this.pending.set(number, {
        deadlineMs: checkedAtMs + timeoutMs,
        silenceTimeoutMs,
        onLateReply: wait?.onLateReply ?? null,
        resolve,
        reject,
        checkedAtMs,
        timer: this.startTimer(number, silenceTimeoutMs),
        isLate: false
      })
      this.writer.send(frame)
    })
  }

  /// Rejects its requests, and closes the connection once no late reply may arrive any more.
  replace (): void {
    this.isClosing = true
    for (const [number, request] of [...this.pending]) {
      if (!request.isLate) this.expire(number, request, this.createLossError('silent'))
    }
    this.closeIfUnused()
  }

  /// Rejects its requests and closes the connection.
  close (reason: string): void {
    this.socket.destroy()
    this.handleEnd(reason)
  }

  /// Chunks are read into the same memory, and copied from there.
  private createReading (): OnReadOpts {
    const reader = new FrameReader()
    const read = (chunk: Buffer): Reply[] => {
      try {
        return reader.push(chunk).map(message => Reply.decode(message))
      } catch (error) {
        this.socket.destroy(error as Error)
        return []
      }
    }
    return {
      buffer: chunkBuffer,
      callback: bytes => {
        for (const reply of read(chunkBuffer.subarray(0, bytes))) this.handleReply(reply)
        return true
      }
    }
  }

  private listen (): void {
    const { socket } = this
    socket.on('connect', () => { this.isConnected = true })
    socket.on('error', (error: NodeJS.ErrnoException) => this.handleEnd(error.message, machineUpCodes.has(error.code)))
    socket.on('end', () => socket.destroy())
    socket.on('close', () => this.handleEnd('the peer closed the connection', true))
  }

  private handleReply (reply: Reply): void {
    const { liveness } = this
    this.consecutiveTimeouts = liveness.consecutiveTimeouts = 0
    this.lastReplyMs = liveness.lastReplyMs = performance.now()
    const request = this.pending.get(reply.number)
    if (request === undefined) return
    this.remove(reply.number, request)
    if (reply.error !== '') request.reject(new RequestRejectedError(`${this.address}: ${reply.error}`))
    else if (request.isLate) request.onLateReply!(reply)
    else request.resolve(reply)
  }

  /// After an event loop stall, replies that have already arrived are read before the request times out.
  private startTimer (number: number, timeoutMs: number): ReturnType<typeof setTimeout> {
    const startedAtMs = performance.now()
    return setTimeout(() => {
      const wasStalled = performance.now() - startedAtMs - timeoutMs > stallThresholdMs
      setTimeout(() => this.handleTimer(number), wasStalled ? stallGraceMs : 0)
    }, timeoutMs)
  }

  private handleTimer (number: number): void {
    const request = this.pending.get(number)
    if (request === undefined) return
    if (request.isLate) return this.remove(number, request)
    const nowMs = performance.now()
    const remainingMs = request.deadlineMs - nowMs
    if (remainingMs > 1 && this.lastReplyMs >= request.checkedAtMs) {
      request.checkedAtMs = nowMs
      request.timer = this.startTimer(number, Math.min(request.silenceTimeoutMs, remainingMs))
    } else {
      this.handleTimeout(number, request, Math.min(request.checkedAtMs, nowMs - request.silenceTimeoutMs))
    }
  }

  /// The request has waited without a reply since `sinceMs`.
  private handleTimeout (number: number, request: PendingRequest, sinceMs: number): void {
    const { liveness } = this
    const isUnresponsive = liveness.lastReplyMs < sinceMs
    const isMachineUp = this.isConnected && this.lastReplyMs === -Infinity
    this.expire(number, request, new PeerError(`${this.address}: request timed out`, isUnresponsive, true, isMachineUp))
    if (isUnresponsive && ++liveness.consecutiveTimeouts >= timeoutsBeforeReplacement) {
      liveness.consecutiveTimeouts = 0
      liveness.generation++
    }
    if (this.lastReplyMs < sinceMs && ++this.consecutiveTimeouts >= timeoutsBeforeReplacement) this.replace()
  }

  /// Rejects a request, and keeps it for its late reply if there may be one.
  private expire (number: number, request: PendingRequest, error: PeerError): void {
    request.reject(error)
    const remainingMs = request.deadlineMs - performance.now()
    if (request.onLateReply === null || remainingMs <= 1) return this.remove(number, request)
    clearTimeout(request.timer)
    request.isLate = true
    request.timer = this.startTimer(number, remainingMs)
  }

  private remove (number: number, { timer }: PendingRequest): void {
    clearTimeout(timer)
    this.pending.delete(number)
    this.closeIfUnused()
  }

  private closeIfUnused (): void {
    if (this.isClosing && this.pending.size === 0) this.close('replaced')
  }

  /// The replies of a connection that failed or ended are lost.
  private handleEnd (reason: string, isMachineUp = false): void {
    if (this.hasEnded) return
    this.hasEnded = this.isClosing = true
    const requests = [...this.pending.values()]
    this.pending.clear()
    for (const { timer, reject } of requests) {
      clearTimeout(timer)
      reject(this.createLossError(reason, isMachineUp))
    }
    this.onClose()
  }

  private createLossError (reason: string, isMachineUp = false): PeerError {
    return new PeerError(`${this.address}: connection lost: ${reason}`, true, false, isMachineUp)
  }
}

/// Throws `MessageError`.
function createFrame (number: number, operation: Operation): Buffer {
  try {
    return toFrame(encodeRequest(number, operation))
  } catch (error) {
    throw new MessageError(errorMessage(error), { cause: error })
  }
}

/// Encoded operations of requests that go to several peers.
const encodedOperations = new WeakMap<object, Uint8Array>()

/// An encoded message followed by another one decodes as one message with the fields of both, so the operation is
/// encoded once for all peers, and only the number for each.
function encodeRequest (number: number, operation: Operation): Uint8Array {
  const key = operation.append ?? operation.findChain ?? operation.digest ?? operation.fetch!
  let encoded = encodedOperations.get(key)
  if (encoded === undefined) {
    encoded = Request.encode({ ...emptyRequest, ...operation }).finish()
    encodedOperations.set(key, encoded)
  }
  // Before it is copied, for each peer.
  assertMessageLength(encoded.length)
  const prefix = new BinaryWriter().uint32(numberTag).uint32(number).finish()
  return Buffer.concat([prefix, encoded])
}

/// Field 1, a varint.
const numberTag = 1 << 3

const emptyRequest: Request = {
  number: 0,
  append: undefined,
  findChain: undefined,
  digest: undefined,
  fetch: undefined
}
