import { ObjectKind } from '#connection/store'
import type { WatchHandler, StoreChange, StoreListing, StoredObject } from '#connection/store'
import type { InstanceClient } from '#connection/upstream'
import { Events } from '#process/log'
import type { EventLog } from '#process/log'
import type { Instance, InstanceDescription } from './instance.js'

/// Reads an entry of the platform's list; null where it names no usable instance.
export type ParseInstance = (object: StoredObject) => InstanceDescription | null

export interface RegistryOptions {
  readonly parseInstance: ParseInstance
  readonly connect: (description: InstanceDescription) => InstanceClient
  /// Called when an instance has come, gone or changed its state.
  readonly onChange: () => void
}

/// Entries that lapsed while the store was away have this long to come back.
const lapsedGraceMs = 2000

/// The upstream instances that the platform lists.
export class InstanceRegistry implements WatchHandler {
  private readonly byId = new Map<string, Instance>()
  private readonly held = new Map<string, ReturnType<typeof setTimeout>>()
  private isKnown = false

  constructor (private readonly options: RegistryOptions, private readonly log: EventLog) {}

  /// Whether the platform's list has been read.
  get hasListing (): boolean {
    return this.isKnown
  }

  get (id: string): Instance | undefined {
    return this.byId.get(id)
  }

  /// The instances of a service that may be sent calls.
  * readyInstances (service: string): Generator<Instance> {
    for (const instance of this.byId.values()) {
      if (instance.description.service === service && instance.description.isReady) yield instance
    }
  }

  onListing (listing: StoreListing, wasInterrupted: boolean): void {
    this.isKnown = true
    const seen = new Set<string>()
    for (const object of listing.objects) {
      seen.add(object.name)
      this.apply(object.name, object)
    }
    for (const id of [...this.byId.keys()]) {
      if (seen.has(id)) continue
      if (wasInterrupted) this.hold(id)
      else this.remove(id, 'not listed')
    }
    this.options.onChange()
  }

  onChanges (changes: readonly StoreChange[]): void {
    for (const { name, object } of changes) this.apply(name, object)
    this.options.onChange()
  }

  private apply (id: string, object: StoredObject | null): void {
    const description = object === null ? null : this.options.parseInstance(object)
    if (object !== null && description === null) {
      this.log.event(Events.instanceIgnored, { instanceId: id, kind: ObjectKind.instances, revision: object.revision })
    }
    this.release(id)
    if (description === null) this.remove(id, object === null ? 'deleted' : 'unusable')
    else this.put(description)
  }

  private put (description: InstanceDescription): void {
    const known = this.byId.get(description.id)
    if (known !== undefined && isSamePlace(known.description, description)) {
      const { isReady } = known.description
      known.description = description
      if (isReady !== description.isReady) {
        this.log.event(Events.instanceChanged, {
          instanceId: description.id,
          isReady: description.isReady
        })
      }
      return
    }
    if (known !== undefined) this.remove(description.id, 'moved')
    this.byId.set(description.id, {
      description,
      client: this.options.connect(description),
      running: 0,
      othersRunning: 0,
      loadReportedAtMs: 0,
      failures: 0,
      suspectUntilMs: 0,
      cachedParts: new Map(),
      isRemoved: false
    })
    const { id, service, address, zone, isReady } = description
    this.log.event(Events.instanceAdded, { instanceId: id, service, address, zone, isReady })
  }

  private remove (id: string, reason: string): void {
    const instance = this.byId.get(id)
    if (instance === undefined) return
    this.byId.delete(id)
    this.release(id)
    instance.isRemoved = true
    instance.client.close()
    this.log.event(Events.instanceRemoved, { instanceId: id, reason })
  }

  private hold (id: string): void {
    if (this.held.has(id)) return
    this.log.event(Events.instanceHeld, { instanceId: id, graceMs: lapsedGraceMs })
    this.held.set(id, setTimeout(() => {
      this.held.delete(id)
      this.remove(id, 'still missing after an outage of the store')
      this.options.onChange()
    }, lapsedGraceMs))
  }

  private release (id: string): void {
    clearTimeout(this.held.get(id))
    this.held.delete(id)
  }
}

function isSamePlace (a: InstanceDescription, b: InstanceDescription): boolean {
  return a.address === b.address && a.service === b.service
}
