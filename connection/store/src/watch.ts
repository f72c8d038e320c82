import { sleep } from '#process/clock'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'
import { HistoryGoneError } from './store.js'
import type { ObjectStore, StoreChange, StoreListing, StoredObject } from './store.js'

/// Receives the objects of a kind and their changes.
export interface WatchHandler {
  /// Receives all objects. `wasInterrupted` is true if the store was unavailable before.
  onListing (listing: StoreListing, wasInterrupted: boolean): void
  onChanges (changes: readonly StoreChange[]): void
}

export interface WatchOptions {
  readonly kind: string
  /// How long the store may wait for changes before it responds to a request.
  readonly waitMs: number
  /// Delay before the next request after a change, so that several changes arrive in one response.
  readonly pauseMs: number
}

const firstRetryMs = 150
const maxRetryMs = 600

/// Watches a kind of objects: lists them, then waits for changes. After a failure
/// it lists them again, since an interrupted watch may have missed changes.
/// Returns a function that stops the watch.
export function watchObjects (
  store: ObjectStore,
  options: WatchOptions,
  handler: WatchHandler,
  log: EventLog
): () => void {
  const abortController = new AbortController()
  runWatch(store, options, handler, log, abortController.signal).catch((error: unknown) => {
    log.event(Events.unexpectedError, { where: `watching ${options.kind}`, error: formatError(error) })
  })
  return () => abortController.abort()
}

/// Watches one object of a kind. `onObject` receives it after each listing, null
/// if it is absent, and after each change; its deletion is not reported.
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

async function runWatch (
  store: ObjectStore,
  options: WatchOptions,
  handler: WatchHandler,
  log: EventLog,
  signal: AbortSignal
): Promise<void> {
  let wasInterrupted = false
  let retryMs = firstRetryMs
  while (!signal.aborted) {
    try {
      const listing = await store.list(options.kind)
      if (wasInterrupted) log.event(Events.watchRestarted, { kind: options.kind, revision: listing.revision })
      handler.onListing(listing, wasInterrupted)
      wasInterrupted = false
      retryMs = firstRetryMs
      await watchFrom(store, options, handler, listing.revision, signal)
    } catch (error) {
      if (signal.aborted) return
      if (!(error instanceof HistoryGoneError)) wasInterrupted = true
      log.event(Events.watchRestarted, { kind: options.kind, error: formatError(error) })
      await sleep(retryMs * (0.75 + Math.random() / 2))
      retryMs = Math.min(retryMs * 2, maxRetryMs)
    }
  }
}

async function watchFrom (
  store: ObjectStore,
  options: WatchOptions,
  handler: WatchHandler,
  fromRevision: number,
  signal: AbortSignal
): Promise<void> {
  let revision = fromRevision
  while (!signal.aborted) {
    const { changes, revision: latest } = await store.waitForChanges(options.kind, revision, options.waitMs, signal)
    revision = Math.max(revision, latest)
    if (changes.length === 0) continue
    handler.onChanges(changes)
    await sleep(options.pauseMs)
  }
}
