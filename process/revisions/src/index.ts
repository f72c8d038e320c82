export { encodeRevisionDigest, parseRevisionDigest, revisionDigestType } from './digest.js'
export type { RevisionDigest } from './digest.js'
export { RevisionGossip, gossipTickMs } from './revisiongossip.js'
export type { FollowedKind, GossipOptions, GossipPeer } from './revisiongossip.js'
