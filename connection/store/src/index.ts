export { StoreConflictError, StoreUnavailableError } from './store.js'
export type { ListOptions, ObjectStore, StoreChange, StoredObject } from './store.js'
