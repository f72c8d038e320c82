import type { StoreChange, StoreListing, StoredObject } from './store.js'

/// Receives the objects of a kind and their changes, one at a time. An exception concerns only the object that was
/// being handled: the others are delivered all the same.
export interface WatchHandler {
  /// The names of the objects that the handler knows.
  readonly names: Iterable<string>
  /// The object was listed or changed, or deleted if it is null.
  onObject (name: string, object: StoredObject | null): void
  /// A known object is missing from a listing. `wasInterrupted` is true if the store was unavailable before.
  onMissing (name: string, wasInterrupted: boolean): void
  /// Called after all objects of a listing, or all changes of a response.
  onUpdated? (isListing: boolean): void
}

/// Receives what a handler has thrown at the object of this name; an empty one if it was at none.
export type ReportFailure = (name: string, error: unknown) => void

/// Delivers all objects of a kind.
export function deliverListing (
  handler: WatchHandler, { objects }: StoreListing, wasInterrupted: boolean, report: ReportFailure
): void {
  const listed = new Set<string>()
  for (const object of objects) {
    listed.add(object.name)
    attempt(object.name, () => handler.onObject(object.name, object), report)
  }
  for (const name of [...handler.names]) {
    if (!listed.has(name)) attempt(name, () => handler.onMissing(name, wasInterrupted), report)
  }
  attempt('', () => handler.onUpdated?.(true), report)
}

/// Delivers changed objects of a kind.
export function deliverChanges (
  handler: WatchHandler, changes: readonly StoreChange[], report: ReportFailure
): void {
  for (const { name, object } of changes) attempt(name, () => handler.onObject(name, object), report)
  attempt('', () => handler.onUpdated?.(false), report)
}

/// Returns a handler of one object of a kind. `onObject` receives it after each listing, null if it is absent, and
/// after each change; its deletion is not reported.
export function handleObject (name: string, onObject: (object: StoredObject | null) => void): WatchHandler {
  return {
    names: [name],
    onObject: (changedName, object) => { if (changedName === name && object !== null) onObject(object) },
    onMissing: () => onObject(null)
  }
}

function attempt (name: string, deliver: () => void, report: ReportFailure): void {
  try {
    deliver()
  } catch (error) {
    report(name, error)
  }
}
