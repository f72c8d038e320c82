export { ViewFormatError, parseView } from './codec.js'
export { MemberState, canLeave, requiredCopySources, emptyView, canEvict, computeQuorums, viewObjectName, withServing, withLeaving, withMember, withSynced } from './view.js'
export type { Quorums } from './view.js'
