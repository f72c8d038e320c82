export { LedgerQuorum, QuorumError } from './quorum.js'
export type { QuorumOptions } from './quorum.js'
