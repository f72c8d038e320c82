export { ViewFormatError, readView } from './codec.js'
export { MemberState, canSpare, copiesNeeded, emptyView, isSuperfluous, quorumRule, viewName, withCompleted, withLeaving, withMember, withSynced } from './view.js'
export type { QuorumRule } from './view.js'
