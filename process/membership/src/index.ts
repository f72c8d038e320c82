export { ViewFormatError, parseView } from './codec.js'
export { MemberState, canLeave, hasCopied, requiredCopySources, emptyView, canEvict, computeFullSize, computeQuorums, isForming, needsMember, viewObjectName, withServing, withLeaving, withMember, withSynced } from './view.js'
export type { Quorums } from './view.js'
