import { deliverChanges, deliverListing } from '#connection/store'
import type { StoreChange, StoreListing, WatchHandler } from '#connection/store'

/// Delivers a listing to a handler without a watch. Throws what the handler throws.
export function listObjects (handler: WatchHandler, listing: StoreListing, wasInterrupted = false): void {
  deliverListing(handler, listing, wasInterrupted, throwFailure)
}

/// Delivers changes to a handler without a watch. Throws what the handler throws.
export function changeObjects (handler: WatchHandler, changes: readonly StoreChange[]): void {
  deliverChanges(handler, changes, throwFailure)
}

function throwFailure (_: string, error: unknown): never {
  throw error
}
