/// An object of the platform's store. `version` is the object's own and rises
/// with each write.
export interface StoredObject {
  readonly key: string
  readonly value: Buffer
  readonly version: number
}

/// A change that a watch reports; `object` is null for a deleted key.
export interface StoreChange {
  readonly key: string
  readonly object: StoredObject | null
}

/// The platform's object API as the product uses it. Every method may throw
/// `StoreUnavailableError`; conditional writes throw `StoreConflictError` when
/// the condition did not hold.
export interface ObjectStore {
  get (key: string): Promise<StoredObject | null>
  /// Creates a key that must be absent, and returns its version.
  create (key: string, value: Uint8Array): Promise<number>
  /// Replaces a key that must be at `version`, and returns the new version.
  update (key: string, value: Uint8Array, version: number): Promise<number>
  /// Deletes a key. A key that is absent is not an error.
  delete (key: string): Promise<void>
  /// Lists keys under a prefix in ascending order, values included.
  list (prefix: string, options?: ListOptions): Promise<StoredObject[]>
  /// Follows a prefix: first all its objects, then each change. Ends with
  /// `StoreUnavailableError` when the connection is lost; start it again then.
  watch (prefix: string, signal: AbortSignal): AsyncIterable<readonly StoreChange[]>
}

export interface ListOptions {
  /// Only keys after this one, 0 objects skipped by default.
  readonly after?: string
  readonly limit?: number
}

/// The store did not answer, or answered that it can't. `mayHaveRun` says
/// whether a write may have taken effect all the same.
export class StoreUnavailableError extends Error {
  override readonly name = 'StoreUnavailableError'

  constructor (message: string, readonly mayHaveRun: boolean, options?: ErrorOptions) {
    super(message, options)
  }
}

/// A conditional write's condition did not hold, so the write had no effect.
export class StoreConflictError extends Error {
  override readonly name = 'StoreConflictError'

  constructor (readonly key: string) {
    super(`the stored object ${key} is not at the expected version`)
  }
}
