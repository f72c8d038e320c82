import type { Socket } from 'node:net'
import { callAfterReading } from '#process/clock'
import { RelayWord } from './relayword.js'

/// Where a relayed connection comes from. It is sent in the connection's first line, before the caller's bytes.
export interface RelayOrigin {
  /// Name of the entry that accepted the connection.
  readonly entry: string
  /// Version of the configuration that is in force there, under which its calls must be served.
  readonly configVersion: number
}

/// The word at the end says that the entry waits until its connection is taken. Older ones don't.
const linePattern = /^RELAY (\d{1,15}) (\S{1,200})( await)?$/
const maxLineBytes = 256
const lineTimeoutMs = 1000

export function formatOrigin ({ entry, configVersion }: RelayOrigin): string {
  return `RELAY ${configVersion} ${entry} await\n`
}

/// Reads the first line of a relayed connection, and leaves the rest unread. Calls `accept` once it is read; closes a
/// connection without a valid one, and one that isn't taken: the entry that relays it serves it then. `hearsWords`:
/// the other entry knows `RelayWord`.
export function readOrigin (
  socket: Socket, accept: (origin: RelayOrigin, hearsWords: boolean) => void, isTaking: () => boolean = () => true
): void {
  let received: Buffer = Buffer.alloc(0)
  let isRead = false
  const timer = setTimeout(() => callAfterReading(() => { if (!isRead) socket.destroy() }), lineTimeoutMs)
  const stop = (): void => {
    isRead = true
    clearTimeout(timer)
    socket.off('data', onData)
    socket.off('error', stop)
    socket.off('close', stop)
  }
  const onData = (chunk: Buffer): void => {
    received = received.length === 0 ? chunk : Buffer.concat([received, chunk])
    const end = received.indexOf('\n')
    if (end < 0 && received.length < maxLineBytes) return
    stop()
    const match = linePattern.exec(received.toString('latin1', 0, Math.max(end, 0)))
    const hearsWords = match?.[3] !== undefined
    if (match === null || (hearsWords && !isTaking())) {
      socket.destroy()
      return
    }
    if (hearsWords) socket.write(Buffer.of(RelayWord.taken))
    socket.pause()
    if (received.length > end + 1) socket.unshift(received.subarray(end + 1))
    accept({ configVersion: Number(match[1]), entry: match[2]! }, hearsWords)
    socket.resume()
  }
  socket.on('error', stop)
  socket.on('close', stop)
  socket.on('data', onData)
}
