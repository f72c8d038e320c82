export { LedgerQuorum, QuorumError } from './quorum.js'
export type { LedgerPeersOptions } from './ledgerpeers.js'
