import { expect, test, vi } from 'vitest'
import { ObjectKind, ObjectWatch, handleObject } from '#connection/store'
import type { ObjectStore, StoreChanges, StoreListing, StoredObject, WatchHandler } from '#connection/store'
import { InstanceRegistry } from '#process/instances'
import { Events } from '#process/log'
import type { EventKind, EventLog } from '#process/log'
import { EntryDirectory } from '#process/relay'
import { Retirements } from '#process/storage'

/// Lists once, reports the changes once, and then none.
class FakeStore {
  listings = 0
  private isChanged = false

  constructor (private readonly listing: StoreListing, private readonly changes: StoreChanges) {}

  async list (): Promise<StoreListing> {
    this.listings++
    return this.listing
  }

  async waitForChanges (_: string, revision: number, { signal }: { signal: AbortSignal }): Promise<StoreChanges> {
    if (!this.isChanged) {
      this.isChanged = true
      return this.changes
    }
    return await new Promise((resolve, reject) => signal.addEventListener('abort', () => reject(new Error('aborted'))))
  }
}

/// Records events. Throws at those about the object that is named odd, as a fault in any code that handles it would.
class FaultyLog implements EventLog {
  readonly events: EventKind[] = []

  event (kind: EventKind, fields: Readonly<Record<string, unknown>> = {}): void {
    this.events.push(kind)
    if (kind === Events.objectFailed) return
    if (fields.instanceId === 'odd' || fields.entry === 'odd') throw new TypeError('a fault')
  }
}

interface Follower {
  readonly handler: WatchHandler
  readonly readNames: () => readonly string[]
}

const instanceSpec = { service: 's', zone: 'z', address: '10.0.0.1:80', processors: 1 }

function followInstances (log: EventLog): Follower {
  const registry = new InstanceRegistry({
    parseInstance: ({ name }) => ({ id: name, ...instanceSpec, slots: 1, isReady: true, startedAtMs: null }),
    connect: ({ id }) => {
      if (id === 'odd') throw new TypeError('Invalid URL')
      return { close: () => {} } as ReturnType<ConstructorParameters<typeof InstanceRegistry>[0]['connect']>
    },
    onChange: () => {}
  }, log)
  return { handler: registry, readNames: () => [...registry.names] }
}

function followEntries (log: EventLog): Follower {
  const directory = new EntryDirectory({ name: 'own', address: '10.0.0.9:80', zone: 'z', processors: 1 }, log)
  return { handler: directory, readNames: () => directory.others!.map(({ name }) => name).filter(name => name !== 'odd') }
}

function followRetirements (log: EventLog): Follower {
  const retirements = new Retirements({} as ObjectStore, () => { throw new TypeError('a fault') }, log)
  return { handler: retirements, readNames: () => [...retirements.names].filter(name => name !== 'odd') }
}

/// As the configuration and the view of the storage are followed: a failing object before the one that matters.
function followOne (): Follower {
  const seen = new Set<string>()
  const handler = handleObject('b', object => {
    if (object === null) throw new TypeError('a fault')
    seen.add(object.name)
  })
  return { handler, readNames: () => ['a', ...seen] }
}

function createObject (name: string, revision: number): StoredObject {
  return { name, revision, spec: instanceSpec, status: null }
}

// Guards against review/5: a failure of this process at one object was taken for an outage of the store, so the objects
// were listed again and again up to that one, and no removal behind it took effect.
test.each<[string, (log: EventLog) => Follower]>([
  [ObjectKind.instances, followInstances],
  [ObjectKind.entries, followEntries],
  [ObjectKind.retirements, followRetirements],
  [ObjectKind.configuration, followOne],
  [ObjectKind.storageViews, followOne]
])('%s: a failure at one object is logged, is no outage of the store, and the others are followed on', async (kind, follow) => {
  const log = new FaultyLog()
  const { handler, readNames } = follow(log)
  const store = new FakeStore(
    { objects: [createObject('odd', 1), createObject('a', 2), createObject('gone', 3)], revision: 10 },
    {
      changes: [
        { name: 'odd', revision: 11, object: createObject('odd', 11) },
        { name: 'gone', revision: 12, object: null },
        { name: 'b', revision: 13, object: createObject('b', 13) }
      ],
      revision: 13
    }
  )
  const options = { kind, getWaitMs: () => 1000, pauseMs: 1 }
  const watch = new ObjectWatch(store as unknown as ObjectStore, options, handler, log)
  await vi.waitFor(() => expect(readNames()).toEqual(['a', 'b']), { timeout: 1500 })
  expect(watch.isUp).toBe(true)
  expect(watch.knownRevision).toBe(13)
  expect(store.listings).toBe(1)
  expect(log.events).toContain(Events.objectFailed)
  expect(log.events).not.toContain(Events.watchRestarted)
  watch.stop()
})
