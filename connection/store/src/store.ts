/// An object of the platform's store, in the product's terms.
export interface StoredObject {
  readonly name: string
  /// Of its last change; rises with every change in the store.
  readonly revision: number
  readonly spec: unknown
  readonly status: unknown
}

/// A change that a watch reports; `object` is null for a deleted name.
export interface StoreChange {
  readonly name: string
  readonly object: StoredObject | null
}

/// All objects of a kind, as of a revision of the store.
export interface StoreListing {
  readonly objects: readonly StoredObject[]
  readonly revision: number
}

/// The changes after a revision; empty where the wait ran out.
export interface StoreChanges {
  readonly changes: readonly StoreChange[]
  readonly revision: number
}

/// The platform's object API as the product uses it. Every method may throw
/// `StoreUnavailableError`.
export interface ObjectStore {
  list (kind: string): Promise<StoreListing>
  /// Waits for changes after `revision`. Throws `HistoryGoneError` where the
  /// store no longer has them.
  waitForChanges (kind: string, revision: number, waitMs: number, signal: AbortSignal): Promise<StoreChanges>
  get (kind: string, name: string): Promise<StoredObject | null>
  /// Throws `StoreConflictError` where the name is taken.
  create (kind: string, name: string, spec: unknown): Promise<StoredObject>
  /// Throws `StoreConflictError` where the object is not at `revision`.
  update (kind: string, name: string, spec: unknown, revision: number): Promise<StoredObject>
  updateStatus (kind: string, name: string, status: unknown): Promise<void>
}

/// The kinds of objects that the product reads or writes.
export const ObjectKind = {
  configuration: 'configuration',
  instances: 'instances',
  retirements: 'retirements',
  storageViews: 'storage-views'
} as const

/// The store did not answer, or answered that it can't. `mayHaveRun` says
/// whether a write may take effect all the same, also later.
export class StoreUnavailableError extends Error {
  override readonly name = 'StoreUnavailableError'

  constructor (message: string, readonly mayTakeEffect: boolean, options?: ErrorOptions) {
    super(message, options)
  }
}

/// A conditional write's condition did not hold, so the write had no effect.
export class StoreConflictError extends Error {
  override readonly name = 'StoreConflictError'

  constructor (kind: string, name: string) {
    super(`the object ${kind}/${name} is not at the expected revision`)
  }
}

/// The history after a revision is gone; list again.
export class HistoryGoneError extends Error {
  override readonly name = 'HistoryGoneError'
}
