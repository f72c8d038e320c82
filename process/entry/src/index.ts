export { Entry } from './entry.js'
export type { EntryOptions, EntryPlatform } from './entry.js'
export { serveExchange } from './serve.js'
export type { EntryState } from './serve.js'
