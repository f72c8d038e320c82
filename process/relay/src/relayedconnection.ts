import type { Socket } from 'node:net'
import { ConnectionUse, destroyIfStalled } from '#connection/front'
import { callAfterReading } from '#process/clock'
import { closeInOrder } from './closeinorder.js'
import { recordBytes } from './directory.js'
import type { OtherEntry } from './directory.js'
import { watchIdle } from './idlewatch.js'
import { watchOverdue } from './overduewatch.js'
import { connectPeer } from './peerconnection.js'
import { PeerReader } from './peerreader.js'
import type { RelayedConnectionOptions } from './relayedconnectionoptions.js'
import { RequestTracker } from './requesttracker.js'
import { formatBadGateway, statusBadGateway, withoutClose } from './responsehead.js'
import { ResponseTracker } from './responsetracker.js'

/// A caller that has sent more than this behind a request is not read until the response is complete.
const maxHeldBytes = 64 * 1024
/// How long a caller may read nothing of what waits for it. The system reports progress in steps of a megabyte or
/// more.
const maxStalledMs = 30_000
/// A caller that leaves so long before the deadline of its request, or later, has waited for its response in vain.
const deadlineToleranceMs = 50
const overdueReason = 'the entry was silent at the deadline of the request'
const lastResponseReason = 'the response before closes the connection'

/// Passes the bytes of a caller's connection on to another entry and back, until one of them closes. Requests are
/// passed on one by one, each after the response to the one before: a response that closes the connection leaves none
/// behind it that an instance has run.
export class RelayedConnection {
  private readonly peer: Socket
  private isTaken = false
  private isEnded = false
  private isDraining = false
  /// It closes once no request is under way.
  private isClosing = false
  /// Closing, what has arrived is read first.
  private isReadingRest = false
  /// It isn't connected to the other entry any more, and waits for a request.
  private isParked = false
  private idleTimer: NodeJS.Timeout | undefined
  private endWatch = (): void => {}
  /// What the caller has sent and has not been passed on.
  private held: Buffer | null = null
  /// See `ConnectionState`.
  progressAtMs = performance.now()
  private readonly requests: RequestTracker
  private readonly responses = new ResponseTracker()
  private readonly peerReader = new PeerReader(this.responses, {
    isOver: () => this.isEnded || this.isParked,
    onStopWord: () => this.drain(),
    onPart: (part, hasHead) => this.onResponsePart(part, hasHead)
  })

  constructor (private readonly options: RelayedConnectionOptions) {
    const { caller, entry, reader } = options
    this.requests = new RequestTracker(reader)
    this.peer = connectPeer(entry, options.origin, {
      onTaken: () => this.start(),
      onData: this.onPeerData
    })
    this.peer.on('error', error => this.handlePeerError(error.message))
    this.peer.on('close', () => this.handlePeerError('the entry closed the connection'))
    caller.on('error', this.onCallerGone)
    caller.on('close', this.onCallerGone)
  }

  /// Passes no further calls on to the other entry: the next one is served here. The connection isn't closed for this,
  /// as the caller may be sending a request.
  readonly drain = (): void => {
    if (this.isDraining) return
    this.isDraining = true
    if (!this.isTaken) this.giveBack()
    else if (this.isIdle) this.leaveIdle()
  }

  /// Closes the connection once the calls in flight have ended. A call that has arrived by then is served here.
  close (): void {
    this.isClosing = true
    if (this.isParked) this.leaveIdle()
    else this.drain()
  }

  /// Breaks the connection, so that the caller can't take a response for complete that isn't.
  abort (reason: string): void {
    if (this.isEnded) return
    this.reportUnanswered(reason)
    this.options.caller.resetAndDestroy()
    this.peer.resetAndDestroy()
    this.finish(reason)
  }

  /// Whether the other entry has answered all that it was sent.
  private get isIdle (): boolean {
    return this.requests.isBetweenMessages && this.requests.count === this.responses.count
  }

  /// Whether a request has been passed on as a whole, and the response to it is not complete.
  private get awaitsResponse (): boolean {
    return this.requests.isBetweenMessages && this.requests.count > this.responses.count
  }

  /// See `ConnectionState`.
  get use (): ConnectionUse {
    return this.isTaken && this.awaitsResponse ? ConnectionUse.serving : ConnectionUse.waiting
  }

  /// Whether the head of a request has been passed on, and the response to it is not complete.
  private get isUnderWay (): boolean {
    return this.requests.hasMoreThan(this.responses)
  }

  /// Whether the head of a request has been passed on, and nothing of the response to it has.
  private get isUnanswered (): boolean {
    return this.isUnderWay && this.responses.isBetweenMessages && !this.responses.isLast
  }

  /// Whether the caller has got all that it gets on the connection.
  private get hasLastResponse (): boolean {
    return this.responses.isLast && this.responses.isBetweenMessages
  }

  /// Has the connection served here, from the first request on that has not been passed on.
  private giveBack (reason: string | null = null): void {
    const { caller, onReturned } = this.options
    if (this.isEnded) return
    this.finish(reason)
    this.peer.destroy()
    if (this.held !== null) caller.unshift(this.held)
    onReturned(this.isParked || this.requests.count > 0)
    caller.resume()
  }

  private start (): void {
    const { caller, entry, idleTimeoutMs } = this.options
    const { peer } = this
    this.isTaken = true
    entry.onUnavailable.add(this.drain)
    entry.onLoss.add(this.onLoss)
    caller.on('data', this.onCallerData)
    caller.on('drain', this.onCallerDrain)
    caller.on('end', this.onCallerGone)
    peer.on('drain', () => {
      this.updateReading()
      this.countPending()
    })
    peer.on('end', this.onPeerEnd)
    // The other entry doesn't close it, as a request might cross that.
    this.idleTimer = watchIdle(caller, idleTimeoutMs, () => {
      if (this.isIdle && caller.writableLength === 0) this.endAfterReading()
    })
    const { requests } = this
    this.endWatch = watchOverdue({ caller, peer, requests, isUnderWay: () => this.isUnderWay }, this.onOverdue)
  }

  private readonly onPeerEnd = (): void => {
    if (this.isIdle) return this.leaveIdle()
    if (this.hasLastResponse) return this.endCaller(lastResponseReason)
    if (this.isUnanswered) return this.handleLoss('the entry ended the connection')
    // Node reports a reset that arrives with the last bytes as an ordinary end; the socket has no remote address then.
    if (this.peer.remoteAddress === undefined) return this.abort('the entry reset the connection')
    this.responses.end()
    this.endCaller('the entry ended the connection')
  }

  private readonly onCallerData = (chunk: Buffer): void => {
    // What follows the last response is no request, and what is left of one that was refused early isn't needed.
    if (this.responses.isLast) return
    this.held = this.held === null ? chunk : Buffer.concat([this.held, chunk])
    this.passOn()
    this.updateReading()
    this.countPending()
  }

  /// Passes on what the caller has sent, up to the end of a request that needs a response first.
  private passOn (): void {
    while (this.held !== null && !this.awaitsResponse && !this.responses.isLast) {
      if (this.isDraining && this.isIdle) return this.giveBack()
      const { held } = this
      const length = this.requests.addMessage(held)
      const isWhole = length === held.length
      this.held = isWhole ? null : held.subarray(length)
      this.options.onChunk()
      this.peer.write(isWhole ? held : held.subarray(0, length))
    }
    if (this.isDraining && this.isIdle && !this.isEnded) this.leaveIdle()
  }

  private updateReading (): void {
    if (this.isEnded) return
    const { caller } = this.options
    const isFull = this.peer.writableNeedDrain || (this.held?.length ?? 0) > maxHeldBytes
    if (isFull) caller.pause()
    else caller.resume()
  }

  private readonly onCallerDrain = (): void => {
    this.peer.resume()
    this.countPending()
  }

  /// Counts what is held and what waits to be read as memory. The connection is broken off if there is none left.
  private countPending (): void {
    const { caller, memory, onCut } = this.options
    if (this.isEnded || memory === undefined || memory === null) return
    const pendingBytes = caller.writableLength + this.peer.writableLength + (this.held?.length ?? 0)
    if (memory.set(pendingBytes)) return
    onCut?.()
    this.abort(`no memory is left for ${pendingBytes} bytes that wait to be read`)
  }

  /// Returns whether to read on.
  private readonly onPeerData = (bytes: Buffer): boolean => {
    this.options.onChunk()
    recordBytes(this.options.entry)
    this.responses.isToHead = this.requests.isHead
    this.peerReader.add(bytes)
    return !this.options.caller.writableNeedDrain
  }

  private onResponsePart (part: Buffer, hasHead: boolean): void {
    const { caller } = this.options
    const isTakenOver = hasHead && this.responses.isLast && this.mayTakeOver
    if (!caller.write(isTakenOver ? this.takeOver(part) : part)) destroyIfStalled(caller, maxStalledMs)
    if (!this.isUnderWay) {
      this.requests.forgetHead()
      this.progressAtMs = performance.now()
    }
    if (this.held !== null || this.isDraining) {
      this.passOn()
      this.updateReading()
    }
    this.countPending()
  }

  /// Whether the connection should go on here after the last response of the other entry: a request is held, or may
  /// come before the response ends.
  private get mayTakeOver (): boolean {
    const { requests, responses, isClosing, held } = this
    if (!requests.isBetweenMessages || requests.endsConnection) return false
    return held !== null || (!isClosing && !responses.isBetweenMessages)
  }

  /// The other entry ends its connection with this response, and requests behind it are served here: the field is left
  /// out, as it concerns that connection only (RFC 9110, section 7.6.1).
  private takeOver (part: Buffer): Buffer {
    const kept = withoutClose(part)
    if (kept === null) return part
    this.responses.isLast = false
    this.isDraining = true
    return kept
  }

  private leaveIdle (): void {
    if (this.responses.isLast) this.endCaller(lastResponseReason)
    else if (this.isDraining && !this.isClosing) this.park()
    else this.endAfterReading()
  }

  /// Waits for the caller's next request.
  private park (): void {
    if (this.isParked) return
    const { entry, idleTimeoutMs } = this.options
    this.isParked = true
    this.endWatch()
    this.forgetEntry(entry)
    this.peer.destroy()
    this.updateReading()
    clearTimeout(this.idleTimer)
    this.idleTimer = setTimeout(() => this.endAfterReading(), idleTimeoutMs)
  }

  /// Ends the connection unless the caller has sent another request: if this process was busy, it may have waited.
  private endAfterReading (): void {
    if (this.isReadingRest) return
    this.isDraining = true
    this.isClosing = true
    this.isReadingRest = true
    this.options.caller.resume()
    callAfterReading(() => { if (!this.isEnded) this.endCaller() })
  }

  private endCaller (reason = 'the connection was idle'): void {
    const { caller } = this.options
    if (this.isEnded) return
    this.reportUnanswered(reason)
    this.finish(null)
    closeInOrder(caller)
    this.peer.destroy()
  }

  private reportUnanswered (reason: string): void {
    const { requests, isUnderWay } = this
    const heldBytes = this.held?.length ?? 0
    if (!isUnderWay && heldBytes === 0) return
    const callId = isUnderWay ? requests.callId : null
    this.options.onUnanswered({ callId, isWhole: requests.isBetweenMessages, heldBytes, reason })
  }

  /// A caller that has sent its end has left, as for calls that are served here. The reset lets the other entry know at
  /// once.
  private readonly onCallerGone = (): void => {
    const { caller } = this.options
    if (this.isEnded) return
    if (caller.destroyed && caller.errored === null && !caller.readableEnded) {
      this.reportUnanswered('the caller stopped reading')
    } else if (this.isUnanswered && performance.now() >= this.requests.deadlineMs - deadlineToleranceMs) {
      this.reportUnanswered(overdueReason)
    }
    this.finish(null)
    this.peer.resetAndDestroy()
    caller.destroy()
  }

  private readonly onOverdue = (): void => {
    if (this.isEnded) return
    this.handleLoss(overdueReason)
    this.options.onOverdue()
  }

  private readonly onLoss = (): void => this.handleLoss('the entry has fallen silent')

  /// The response to the request under way says that the other entry is lost, unless a part of one has been passed on.
  private handleLoss (reason: string): void {
    if (this.isEnded) return
    if (!this.isUnanswered) return this.abort(reason)
    const { caller, onUnanswered } = this.options
    const isWhole = this.requests.isBetweenMessages
    const isLast = !isWhole || this.isClosing
    const heldBytes = isLast ? this.held?.length ?? 0 : 0
    onUnanswered({ callId: this.requests.callId, isWhole, heldBytes, reason, status: statusBadGateway })
    caller.write(formatBadGateway(isLast))
    this.peer.resetAndDestroy()
    if (!isLast) return this.giveBack(reason)
    this.finish(reason)
    closeInOrder(caller)
  }

  private handlePeerError (reason: string): void {
    if (this.isEnded || this.isParked) return
    if (this.hasLastResponse) return this.endCaller(lastResponseReason)
    if (this.isTaken) return this.isIdle ? this.leaveIdle() : this.handleLoss(reason)
    this.finish(reason)
    this.options.onUnreachable(reason)
  }

  private forgetEntry ({ onUnavailable, onLoss }: OtherEntry): void {
    onUnavailable.delete(this.drain)
    onLoss.delete(this.onLoss)
  }

  private finish (reason: string | null): void {
    const { caller, entry, onEnd } = this.options
    this.isEnded = true
    this.options.memory?.close()
    clearTimeout(this.idleTimer)
    this.endWatch()
    this.forgetEntry(entry)
    caller.off('data', this.onCallerData)
    caller.off('drain', this.onCallerDrain)
    for (const event of ['end', 'error', 'close']) caller.off(event, this.onCallerGone)
    // An error after the end has no meaning.
    caller.on('error', ignoreError)
    onEnd(reason)
  }
}

function ignoreError (): void {}
