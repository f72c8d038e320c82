import type { Dispatcher as UndiciDispatcher, Pool as UndiciPool } from 'undici'
import request from 'undici/lib/api/api-request.js'
import buildConnector from 'undici/lib/core/connect.js'
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js'
import PoolOfOrigin from 'undici/lib/dispatcher/pool.js'

// The library's index also loads fetch, WebSocket, cookies and caches, a fifth
// of a start's processor time; it adds `request` to its dispatchers like this.
Object.assign(Dispatcher.prototype, { request })

/// The library's pool of connections to one origin.
export const Pool = PoolOfOrigin as new (origin: string, options: UndiciPool.Options) => UndiciPool
export type Pool = UndiciPool

export type { UndiciDispatcher as Dispatcher }

/// Connects so that a reset never passes for the end of an answer. `onReset` is
/// called just before the library is told of an end that was a reset.
export function strictConnector (timeoutMs: number, onReset: () => void): UndiciPool.Options['connect'] {
  const connect = buildConnector({ timeout: timeoutMs })
  return (target, callback) => {
    const socket = connect(target, callback)
    socket.prependListener('error', nameReset)
    // The runtime reports a reset that comes with the last bytes as an ordinary
    // end (libuv, at POLLHUP); a connection that was reset has no peer any more.
    return socket.prependListener('end', () => { if (socket.remoteAddress === undefined) onReset() })
  }
}

// The library takes an error with the code ECONNRESET for the end of an answer that has no length.
function nameReset (error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') error.code = 'CONNECTION_RESET'
}
