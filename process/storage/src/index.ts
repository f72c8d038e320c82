export { StoragePeers } from './storagepeers.js'
export { MembershipController } from './membership.js'
export type { MembershipOptions } from './membership.js'
export { Retirements } from './retirements.js'
