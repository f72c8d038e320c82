import type { Socket } from 'node:net'
import type { Dispatcher as UndiciDispatcher, Pool as UndiciPool } from 'undici'
import request from 'undici/lib/api/api-request.js'
import buildConnector from 'undici/lib/core/connect.js'
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js'
import PoolOfOrigin from 'undici/lib/dispatcher/pool.js'
import { ConnectionMeter } from './connectionmeter.js'

// undici's index also loads fetch, WebSocket, cookies and caches, which takes a
// fifth of the CPU time of a process start. `request` is added to the
// dispatchers here in the way the index does it.
Object.assign(Dispatcher.prototype, { request })

/// undici's pool of connections to one origin.
export const Pool = PoolOfOrigin as new (origin: string, options: UndiciPool.Options) => UndiciPool
export type Pool = UndiciPool

export type { UndiciDispatcher as Dispatcher }

/// What a connector reports about its connections.
export interface ConnectorOptions {
  readonly timeoutMs: number
  /// Called just before undici handles the end of a connection that was reset.
  readonly onReset: () => void
  /// Called just before undici parses what a connection has read, and calls the handlers of the response on it.
  readonly onRead: (connection: ConnectionMeter) => void
}

/// Creates a connector with which a connection reset is never taken for the end of a response, and a connection that
/// reads more than a response consists of is closed.
export function createConnector ({ timeoutMs, onReset, onRead }: ConnectorOptions): UndiciPool.Options['connect'] {
  const connect = buildConnector({ timeout: timeoutMs })
  return (target, callback) => {
    const socket = connect(target, callback)
    const meter = new ConnectionMeter(socket)
    socket.prependListener('error', replaceResetCode)
    // Node reports a reset that arrives with the last bytes as an ordinary end
    // (libuv, at POLLHUP); a socket that was reset has no remote address any more.
    socket.prependListener('end', () => { if (socket.remoteAddress === undefined) onReset() })
    // undici adds its listener when the socket is connected, and reads in it.
    return socket.on('readable', () => {
      onRead(meter)
      if (meter.isExceeded) refuseMore(socket)
    })
  }
}

function refuseMore (socket: Socket): void {
  socket.destroy(new Error('the instance sends bytes that belong to no response'))
  while (socket.read() !== null) {
    // What was read already is not parsed.
  }
}

// undici takes an error with the code ECONNRESET for the end of a response without a content length.
function replaceResetCode (error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') error.code = 'CONNECTION_RESET'
}
