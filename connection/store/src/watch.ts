import { sleep } from '#process/clock'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'
import { HistoryGoneError } from './store.js'
import type { ObjectStore, StoreChange, StoreListing, StoredObject } from './store.js'

/// Receives what a kind of objects looks like, and each change of it.
export interface WatchHandler {
  /// All objects. `wasInterrupted` says that the store was away before.
  onListing (listing: StoreListing, wasInterrupted: boolean): void
  onChanges (changes: readonly StoreChange[]): void
}

export interface WatchOptions {
  readonly kind: string
  /// How long one call waits at the store.
  readonly waitMs: number
  /// A pause before the next call, which then brings several changes at once.
  readonly pauseMs: number
}

const firstRetryMs = 150
const maxRetryMs = 600

/// Follows a kind of objects: lists it, then waits for changes. After a
/// failure it lists again, so that nothing rests on a watch that was cut.
export function watchObjects (
  store: ObjectStore,
  options: WatchOptions,
  follower: WatchHandler,
  log: EventLog
): () => void {
  const stop = new AbortController()
  run(store, options, follower, log, stop.signal).catch((error: unknown) => {
    log.event(Events.unexpectedError, { where: `following ${options.kind}`, error: formatError(error) })
  })
  return () => stop.abort()
}

/// Follows one object of a kind. `onObject` gets it after each listing, null
/// where it isn't there, and after each change but its end.
export function watchObject (
  store: ObjectStore,
  options: WatchOptions,
  name: string,
  onObject: (object: StoredObject | null) => void,
  log: EventLog
): () => void {
  return watchObjects(store, options, {
    onListing: ({ objects }) => onObject(objects.find(object => object.name === name) ?? null),
    onChanges: changes => {
      for (const change of changes) if (change.name === name && change.object !== null) onObject(change.object)
    }
  }, log)
}

async function run (
  store: ObjectStore,
  options: WatchOptions,
  follower: WatchHandler,
  log: EventLog,
  signal: AbortSignal
): Promise<void> {
  let wasInterrupted = false
  let retryMs = firstRetryMs
  while (!signal.aborted) {
    try {
      const listing = await store.list(options.kind)
      if (wasInterrupted) log.event(Events.watchRestarted, { kind: options.kind, revision: listing.revision })
      follower.onListing(listing, wasInterrupted)
      wasInterrupted = false
      retryMs = firstRetryMs
      await watch(store, options, follower, listing.revision, signal)
    } catch (error) {
      if (signal.aborted) return
      if (!(error instanceof HistoryGoneError)) wasInterrupted = true
      log.event(Events.watchRestarted, { kind: options.kind, error: formatError(error) })
      await sleep(retryMs * (0.75 + Math.random() / 2))
      retryMs = Math.min(retryMs * 2, maxRetryMs)
    }
  }
}

async function watch (
  store: ObjectStore,
  options: WatchOptions,
  follower: WatchHandler,
  from: number,
  signal: AbortSignal
): Promise<void> {
  let revision = from
  while (!signal.aborted) {
    const { changes, revision: next } = await store.waitForChanges(options.kind, revision, options.waitMs, signal)
    revision = Math.max(revision, next)
    if (changes.length === 0) continue
    follower.onChanges(changes)
    await sleep(options.pauseMs)
  }
}
