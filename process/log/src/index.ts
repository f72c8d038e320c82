export { Events } from './catalogue.js'
export type { EventKind } from './catalogue.js'
export { ProcessLog, messageOf, silentLog } from './log.js'
export type { EventFields, EventLog } from './log.js'
