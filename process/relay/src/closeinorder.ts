import type { Socket } from 'node:net'
import { destroyIfStalled } from '#connection/front'

/// How long the other side may go on sending.
const lingerMs = 1000
/// How long the other side may read nothing of what waits for it.
const maxStalledMs = 3000

/// Ends the connection so that all that was written to it arrives (RFC 9112, section 9.6), unless the other side stops
/// reading. What it sends meanwhile is read and dropped: if it stayed unread, the system would reset the connection,
/// and responses on the way would be lost.
export function closeInOrder (socket: Socket): void {
  let timer: ReturnType<typeof setTimeout> | undefined
  socket.once('close', () => clearTimeout(timer))
  socket.once('end', () => socket.destroySoon())
  socket.resume()
  socket.end(() => { timer = setTimeout(() => socket.destroy(), lingerMs) })
  destroyIfStalled(socket, maxStalledMs)
}
