import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { splitAddress } from '#connection/address'
import type { OtherEntry } from './directory.js'
import { formatOrigin } from './origin.js'
import type { RelayOrigin } from './origin.js'
import { RequestTracker } from './requesttracker.js'

export interface RelayedConnectionOptions {
  readonly caller: Socket
  readonly entry: OtherEntry
  readonly origin: RelayOrigin
  /// Called for each chunk that is passed on, either way.
  readonly onChunk: () => void
  /// Called if the other entry can't be reached; nothing of the caller's bytes has been read then.
  readonly onUnreachable: (reason: string) => void
  /// Called if the connection was drained before the other entry was reached; nothing has been read then, either.
  readonly onCancelled: () => void
  /// Called when the connection has ended, with the reason if it broke.
  readonly onEnd: (reason: string | null) => void
}

const connectTimeoutMs = 300
/// Shared by all connections: each read is copied at once, which takes less than Node's streams.
const readBuffer = Buffer.allocUnsafe(64 * 1024)

/// Passes the bytes of a caller's connection on to another entry and back, until one of them closes.
export class RelayedConnection {
  private readonly peer: Socket
  private readonly connectTimer: ReturnType<typeof setTimeout>
  private isConnected = false
  private isEnded = false
  private isDraining = false
  private readonly requests = new RequestTracker()

  constructor (private readonly options: RelayedConnectionOptions) {
    const { caller, entry } = options
    const [host, port] = splitAddress(entry.registration.address)
    this.peer = connect({ host, port, noDelay: true, onread: { buffer: readBuffer, callback: this.onPeerData } })
    this.connectTimer = setTimeout(() => this.peer.destroy(new Error('the connection timed out')), connectTimeoutMs)
    this.peer.once('connect', () => this.start())
    this.peer.on('error', error => this.handlePeerError(error.message))
    this.peer.on('close', () => this.handlePeerError('the entry closed the connection'))
    caller.on('error', this.onCallerGone)
    caller.on('close', this.onCallerGone)
  }

  /// Ends the connection once the calls in flight have ended: the other entry gets no further ones, answers those that
  /// it has, and closes.
  drain (): void {
    if (this.isDraining) return
    this.isDraining = true
    if (this.isConnected) this.endBetweenRequests()
    else this.cancel()
  }

  /// Breaks the connection, so that the caller can't take a response for complete that isn't.
  abort (reason: string): void {
    if (this.isEnded) return
    this.options.caller.resetAndDestroy()
    this.peer.resetAndDestroy()
    this.finish(reason)
  }

  /// Before the other entry is connected, nothing of the caller's bytes has been read.
  private cancel (): void {
    if (this.isEnded) return
    this.finish(null)
    this.peer.destroy()
    this.options.onCancelled()
  }

  private start (): void {
    const { caller, entry, origin, onChunk } = this.options
    const { peer } = this
    clearTimeout(this.connectTimer)
    this.isConnected = true
    entry.onSilence.add(this.onSilence)
    peer.write(formatOrigin(origin))
    caller.on('data', (chunk: Buffer) => {
      onChunk()
      this.requests.add(chunk)
      if (!peer.write(chunk)) caller.pause()
      if (this.isDraining) this.endBetweenRequests()
    })
    caller.on('drain', () => peer.resume())
    caller.on('end', this.onCallerGone)
    peer.on('drain', () => { if (!peer.writableEnded) caller.resume() })
    // Node reports a reset that arrives with the last bytes as an ordinary end; the socket has no remote address then,
    // as after an end on both sides.
    peer.on('end', () => {
      if (peer.remoteAddress === undefined && !this.isDraining) this.abort('the entry reset the connection')
      else this.endCaller()
    })
  }

  /// Returns whether to read on.
  private readonly onPeerData = (length: number): boolean => {
    this.options.onChunk()
    return this.options.caller.write(Buffer.from(readBuffer.subarray(0, length)))
  }

  /// Within a request, its rest ends the connection.
  private endBetweenRequests (): void {
    if (this.isEnded || this.peer.writableEnded || !this.requests.isBetweenRequests) return
    this.options.caller.pause()
    this.peer.end()
  }

  private endCaller (): void {
    const { caller } = this.options
    this.finish(null)
    caller.end(() => caller.destroy())
    this.peer.destroy()
  }

  /// A caller that has sent its end has left, as for calls that are served here. The reset lets the other entry know at
  /// once.
  private readonly onCallerGone = (): void => {
    if (this.isEnded) return
    this.finish(null)
    this.peer.resetAndDestroy()
    this.options.caller.destroy()
  }

  private readonly onSilence = (): void => this.abort('the entry has fallen silent')

  private handlePeerError (reason: string): void {
    if (this.isEnded) return
    if (this.isConnected) return this.abort(reason)
    this.finish(reason)
    this.options.onUnreachable(reason)
  }

  private finish (reason: string | null): void {
    const { caller, entry, onEnd } = this.options
    this.isEnded = true
    clearTimeout(this.connectTimer)
    entry.onSilence.delete(this.onSilence)
    caller.off('error', this.onCallerGone)
    caller.off('close', this.onCallerGone)
    // An error after the end has no meaning.
    caller.on('error', ignoreError)
    onEnd(reason)
  }
}

function ignoreError (): void {}
