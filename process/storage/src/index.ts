export { Membership } from './membership.js'
export type { MembershipOptions } from './membership.js'
