export { Events } from './catalogue.js'
export type { EventKind } from './catalogue.js'
export { ProcessLog, formatError, errorMessage, noopLog } from './log.js'
export type { EventFields, EventLog } from './log.js'
