import type { Socket } from 'node:net'

const pollMs = 200

const watchedSockets = new WeakSet<Socket>()

/// Destroys the socket if nothing of what was written to it leaves for `maxStalledMs`. The watch ends when all has
/// left; until then a further one of the same socket has no effect.
export function destroyIfStalled (socket: Socket, maxStalledMs: number): void {
  if (socket.writableLength === 0 || watchedSockets.has(socket)) return
  watchedSockets.add(socket)
  let unsent = describeUnsent(socket)
  let progressAtMs = performance.now()
  const timer = setInterval(() => {
    if (socket.destroyed || socket.writableLength === 0) {
      watchedSockets.delete(socket)
      clearInterval(timer)
      return
    }
    const current = describeUnsent(socket)
    if (current !== unsent) {
      unsent = current
      progressAtMs = performance.now()
    } else if (performance.now() - progressAtMs >= maxStalledMs) {
      socket.destroy()
    }
  }, pollMs)
}

/// Changes as bytes leave. `writableLength` alone counts a buffer until the last of its bytes has left.
function describeUnsent (socket: Socket): string {
  const { _handle: handle } = socket as { readonly _handle?: { readonly writeQueueSize?: number } | null }
  return `${socket.writableLength} ${handle?.writeQueueSize ?? 0}`
}
