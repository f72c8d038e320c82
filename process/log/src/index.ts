export { Events } from './catalogue.js'
export type { EventKind } from './catalogue.js'
export { ProcessLog, messageOf, reasonIn, silentLog } from './log.js'
export type { EventFields, EventLog } from './log.js'
