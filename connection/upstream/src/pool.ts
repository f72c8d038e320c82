import type { Dispatcher as UndiciDispatcher, Pool as UndiciPool } from 'undici'
import request from 'undici/lib/api/api-request.js'
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js'
import PoolOfOrigin from 'undici/lib/dispatcher/pool.js'

// The library's index also loads fetch, WebSocket, cookies and caches, a fifth
// of a start's processor time; it adds `request` to its dispatchers like this.
Object.assign(Dispatcher.prototype, { request })

/// The library's pool of connections to one origin.
export const Pool = PoolOfOrigin as new (origin: string, options: UndiciPool.Options) => UndiciPool
export type Pool = UndiciPool
export type { UndiciDispatcher as Dispatcher }
