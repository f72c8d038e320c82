import type { Socket } from 'node:net'

/// Calls `onIdle` at the end of each interval in which no byte has passed, either way. The caller clears the timer.
export function watchIdle (socket: Socket, intervalMs: number, onIdle: () => void): NodeJS.Timeout {
  let bytesBefore = -1
  return setInterval(() => {
    const bytes = socket.bytesRead + socket.bytesWritten
    if (bytes === bytesBefore) onIdle()
    bytesBefore = bytes
  }, intervalMs)
}
