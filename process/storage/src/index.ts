export { MembershipController } from './membership.js'
export type { MembershipOptions } from './membership.js'
