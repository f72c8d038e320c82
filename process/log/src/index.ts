export { Events } from './catalogue.js'
export type { EventKind } from './catalogue.js'
export { silentLog } from './log.js'
export type { EventFields, EventLog } from './log.js'
