export { ProgramStatus, ProgramTable, ProgramTree, bytesOf, messagesOf, verdictOf } from './tree.js'
export type { Position } from './tree.js'
