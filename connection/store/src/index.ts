export { watchObjects, watchObject } from './watch.js'
export type { WatchOptions, WatchHandler } from './watch.js'
export { HistoryGoneError, ObjectKind, StoreConflictError, StoreUnavailableError } from './store.js'
export type { ObjectStore, StoreChange, StoreChanges, StoreListing, StoredObject } from './store.js'
