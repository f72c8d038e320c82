import { ObjectKind } from '#connection/store'
import type { StoredObject, WatchHandler } from '#connection/store'
import type { InstanceClient } from '#connection/upstream'
import { Events } from '#process/log'
import type { EventLog } from '#process/log'
import { InstanceSpeed, ServiceModel, takeSpeedNews } from '#process/speed'
import type { SpeedNews } from '#process/speed'
import { DepartureMemory } from './departurememory.js'
import type { Instance, InstanceDescription } from './instance.js'

/// Parses an object of the platform's store. Returns null if it doesn't describe a usable instance.
export type ParseInstance = (object: StoredObject) => InstanceDescription | null

export interface RegistryOptions {
  readonly parseInstance: ParseInstance
  readonly connect: (description: InstanceDescription) => InstanceClient
  /// Called after instances may have been added, removed or changed.
  readonly onChange: () => void
}

/// How long an instance that is missing after a store outage stays in use: its entry may have expired during the
/// outage and may be restored.
const missingGraceMs = 2000

/// Services come and go; beyond this number, the models of those without instances are dropped.
const maxModels = 500

/// The upstream instances that are listed in the platform's store.
export class InstanceRegistry implements WatchHandler {
  private readonly byId = new Map<string, Instance>()
  private readonly departures = new DepartureMemory()
  private readonly removalTimers = new Map<string, ReturnType<typeof setTimeout>>()
  private readonly models = new Map<string, ServiceModel>()
  private isListingReceived = false

  constructor (private readonly options: RegistryOptions, private readonly log: EventLog) {}

  /// Whether a listing has been received.
  get hasListing (): boolean {
    return this.isListingReceived
  }

  /// How many instances name a limit of requests per second.
  get limitedCount (): number {
    return [...this.byId.values()].filter(instance => instance.limit !== null).length
  }

  get (id: string): Instance | undefined {
    return this.byId.get(id)
  }

  /// The instances of a service that accept new calls.
  * readyInstances (service: string): Generator<Instance> {
    for (const instance of this.byId.values()) {
      const { description, isLeaving } = instance
      if (description.service === service && description.isReady && !isLeaving) yield instance
    }
  }

  /// The service models that have been created, by service.
  get serviceModels (): ReadonlyMap<string, ServiceModel> {
    return this.models
  }

  /// How many instances are treated as slower than usual in their service.
  countSlow (nowMs: number): number {
    return [...this.byId.values()].filter(({ speed }) => speed.getFactor(nowMs) > 1).length
  }

  /// The largest factor by which work takes longer at an instance; 1 if all are as usual.
  findLargestSlowdown (nowMs: number): number {
    return [...this.byId.values()].reduce((largest, { speed }) => Math.max(largest, speed.getFactor(nowMs)), 1)
  }

  /// What this process has observed of instances since it last took it, as much as a digest holds.
  takeSpeedNews (): SpeedNews[] {
    return takeSpeedNews([...this.byId].map(([id, { speed }]) => [id, speed] as const))
  }

  /// Adds what another entry has observed. Instances that aren't listed here are left out.
  addSpeedNews (news: readonly SpeedNews[]): void {
    const nowMs = performance.now()
    for (const { instanceId, ...observations } of news) {
      this.byId.get(instanceId)?.speed.recordShared(observations, nowMs)
    }
  }

  get names (): Iterable<string> {
    return this.byId.keys()
  }

  onObject (id: string, object: StoredObject | null): void {
    const description = object === null ? null : this.options.parseInstance(object)
    if (object !== null && description === null) {
      this.log.event(Events.instanceIgnored, { instanceId: id, kind: ObjectKind.instances, revision: object.revision })
    }
    this.cancelRemoval(id)
    if (description === null) this.remove(id, object === null ? 'deleted' : 'unusable')
    else this.upsert(description)
  }

  onMissing (id: string, wasInterrupted: boolean): void {
    if (wasInterrupted) this.deferRemoval(id)
    else this.remove(id, 'not listed')
  }

  onUpdated (isListing: boolean): void {
    this.isListingReceived ||= isListing
    this.options.onChange()
  }

  private upsert (description: InstanceDescription): void {
    const known = this.byId.get(description.id)
    if (known === undefined) return this.add(description)
    if (startedEarlier(description, known.description)) return this.ignoreLate(description)
    if (isSameProcess(known.description, description)) return this.update(known, description)
    this.remove(description.id, 'replaced')
    this.add(description)
  }

  /// An entry that was written late by the instance's earlier process.
  private ignoreLate ({ id, startedAtMs }: InstanceDescription): void {
    this.log.event(Events.instanceIgnored, { instanceId: id, kind: ObjectKind.instances, startedAtMs })
  }

  private update (instance: Instance, description: InstanceDescription): void {
    const { isReady: wasReady, startedAtMs } = instance.description
    // A process that drains doesn't become ready again. Without its start time a new one can't be told from it.
    const isReady = description.isReady && (wasReady || startedAtMs === null)
    instance.description = { ...description, isReady }
    if (isReady !== wasReady) this.log.event(Events.instanceChanged, { instanceId: description.id, isReady })
  }

  private add (description: InstanceDescription): void {
    this.byId.set(description.id, {
      description,
      client: this.options.connect(description),
      running: 0,
      othersRunning: 0,
      loadReportedAtMs: 0,
      failures: 0,
      suspectUntilMs: 0,
      limit: null,
      speed: new InstanceSpeed(),
      model: this.getModel(description.service),
      cachedParts: new Map(),
      prefills: new Set(),
      handledAtMs: new Map(),
      isLeaving: this.departures.has(description),
      isRemoved: false
    })
    const { id, service, address, zone, isReady } = description
    this.log.event(Events.instanceAdded, { instanceId: id, service, address, zone, isReady })
  }

  private getModel (service: string): ServiceModel {
    let model = this.models.get(service)
    if (model === undefined) {
      if (this.models.size >= maxModels) this.dropUnusedModels()
      model = new ServiceModel()
      this.models.set(service, model)
    }
    return model
  }

  private dropUnusedModels (): void {
    const used = new Set([...this.byId.values()].map(({ description }) => description.service))
    for (const service of this.models.keys()) if (!used.has(service)) this.models.delete(service)
  }

  private remove (id: string, reason: string): void {
    const instance = this.byId.get(id)
    if (instance === undefined) return
    this.byId.delete(id)
    this.cancelRemoval(id)
    instance.isRemoved = true
    if (instance.isLeaving || !instance.description.isReady) this.departures.add(instance.description)
    instance.client.close()
    this.log.event(Events.instanceRemoved, { instanceId: id, reason })
  }

  private deferRemoval (id: string): void {
    if (this.removalTimers.has(id)) return
    this.log.event(Events.instanceHeld, { instanceId: id, graceMs: missingGraceMs })
    this.removalTimers.set(id, setTimeout(() => {
      this.removalTimers.delete(id)
      this.remove(id, 'not restored after a store outage')
      this.options.onChange()
    }, missingGraceMs))
  }

  private cancelRemoval (id: string): void {
    clearTimeout(this.removalTimers.get(id))
    this.removalTimers.delete(id)
  }
}

function isSameProcess (a: InstanceDescription, b: InstanceDescription): boolean {
  return a.address === b.address && a.service === b.service && a.startedAtMs === b.startedAtMs
}

function startedEarlier (a: InstanceDescription, b: InstanceDescription): boolean {
  return a.startedAtMs !== null && b.startedAtMs !== null && a.startedAtMs < b.startedAtMs
}
