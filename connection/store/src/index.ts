export { follow, followOne } from './follow.js'
export type { FollowOptions, Follower } from './follow.js'
export { HistoryGoneError, ObjectKind, StoreConflictError, StoreUnavailableError } from './store.js'
export type { ObjectStore, StoreChange, StoreChanges, StoreListing, StoredObject } from './store.js'
