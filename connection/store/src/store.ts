/// An object of the platform's store.
export interface StoredObject {
  readonly name: string
  /// Store revision of the object's last change; increases with every change in the store.
  readonly revision: number
  readonly spec: unknown
  readonly status: unknown
}

/// A change reported by a watch; `object` is null if the object was deleted.
export interface StoreChange {
  readonly name: string
  /// Of the change, or an earlier one if the object was deleted.
  readonly revision: number
  readonly object: StoredObject | null
}

/// All objects of a kind at a revision of the store.
export interface StoreListing {
  readonly objects: readonly StoredObject[]
  readonly revision: number
}

/// The changes after a revision, up to the new `revision`; empty if none came within the wait.
export interface StoreChanges {
  readonly changes: readonly StoreChange[]
  readonly revision: number
}

/// Whether a response may be seconds old, which costs less.
export const Freshness = { latest: 'latest', mayBeStale: 'may-be-stale' } as const

export type Freshness = typeof Freshness[keyof typeof Freshness]

/// How a request waits for changes.
export interface ChangeWait {
  /// How long the store may wait before it responds without changes.
  readonly waitMs: number
  /// Aborting it ends the request.
  readonly signal: AbortSignal
  /// `Freshness.latest` if missing.
  readonly freshness?: Freshness | undefined
}

/// The operations of the platform's object API that the system uses. Every
/// method may throw `StoreUnavailableError`.
export interface ObjectStore {
  list (kind: string, freshness?: Freshness): Promise<StoreListing>
  /// Waits for changes after `revision`. Throws `HistoryGoneError`
  /// if the store no longer has them.
  waitForChanges (kind: string, revision: number, wait: ChangeWait): Promise<StoreChanges>
  get (kind: string, name: string): Promise<StoredObject | null>
  /// Throws `StoreConflictError` if the name exists already.
  create (kind: string, name: string, spec: unknown): Promise<StoredObject>
  /// Throws `StoreConflictError` if the object is not at `revision`.
  update (kind: string, name: string, spec: unknown, revision: number): Promise<StoredObject>
  updateStatus (kind: string, name: string, status: unknown): Promise<void>
}

/// The kinds of objects that the system reads or writes.
export const ObjectKind = {
  configuration: 'configuration',
  entries: 'entries',
  instances: 'instances',
  retirements: 'retirements',
  storageViews: 'storage-views'
} as const

/// The store did not respond or could not serve the request. `mayTakeEffect`
/// says whether a write may still take effect, even later.
export class StoreUnavailableError extends Error {
  override readonly name = 'StoreUnavailableError'

  constructor (message: string, readonly mayTakeEffect: boolean, options?: ErrorOptions) {
    super(message, options)
  }
}

/// The condition of a conditional write did not hold, so the write had no effect.
export class StoreConflictError extends Error {
  override readonly name = 'StoreConflictError'

  /// `current` is the object as it is, null if the store did not say.
  constructor (kind: string, name: string, readonly current: StoredObject | null = null) {
    super(`the object ${kind}/${name} already exists or is not at the expected revision`)
  }
}

/// The store no longer has the changes after the given revision; the objects must be listed again.
export class HistoryGoneError extends Error {
  override readonly name = 'HistoryGoneError'
}
