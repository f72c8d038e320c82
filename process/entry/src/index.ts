export { Entry } from './entry.js'
export type { EntryOptions, EntryPlatform } from './entry.js'
export { serveExchange } from './serve.js'
export type { ServeState } from './serve.js'
