import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { splitAddress } from '#connection/address'
import { callAfterReading } from '#process/clock'
import type { OtherEntry } from './directory.js'
import { formatOrigin } from './origin.js'
import type { RelayOrigin } from './origin.js'
import { RelayWord } from './relayword.js'

export interface PeerConnectionHandlers {
  /// Called when the other entry has taken the connection. If it ends before, nothing that is sent on it was read.
  readonly onTaken: () => void
  /// Called with each part of what the other entry sends. Returns whether to read on.
  readonly onData: (bytes: Buffer) => boolean
}

/// For the connection and the word of another entry, beyond the time that a call is expected to take there.
const takeTimeoutMs = 300
const maxTakeTimeoutMs = 1000
/// Shared by all connections: each read is copied at once, which takes less than Node's streams.
const readBuffer = Buffer.allocUnsafe(64 * 1024)

/// Connects to another entry, and destroys the connection if it isn't taken in time.
export function connectPeer (
  { registration, expectedMs }: OtherEntry, origin: RelayOrigin, { onTaken, onData }: PeerConnectionHandlers
): Socket {
  let isTaken = false
  const onRead = (length: number): boolean => {
    const bytes = Buffer.from(readBuffer.subarray(0, length))
    if (isTaken) return onData(bytes)
    isTaken = bytes[0] === RelayWord.taken
    if (!isTaken) {
      socket.destroy(new Error('the entry sent no word that it takes the connection'))
      return false
    }
    onTaken()
    return bytes.length === 1 || onData(bytes.subarray(1))
  }
  const [host, port] = splitAddress(registration.address)
  const socket = connect({ host, port, noDelay: true, onread: { buffer: readBuffer, callback: onRead } })
  // The word may have arrived while this process was busy.
  const timer = setTimeout(() => callAfterReading(() => {
    if (!isTaken) socket.destroy(new Error('the connection timed out'))
  }), Math.min(takeTimeoutMs + expectedMs, maxTakeTimeoutMs))
  socket.once('connect', () => socket.write(formatOrigin(origin)))
  socket.once('close', () => clearTimeout(timer))
  return socket
}
