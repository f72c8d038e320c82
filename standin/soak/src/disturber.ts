import { sleep } from '#process/clock'
import { computeFullSize } from '#process/membership'
import { createConfiguration } from '#standin/system'
import type { StandinSystem, SystemNode } from '#standin/system'
import { StoreFault } from '#standin/store'
import { UpstreamFault } from '#standin/upstream'
import type { StandinUpstream } from '#standin/upstream'
import type { Disturbance, Observations } from './observations.js'
import type { Random } from './random.js'
import { StorageChanges } from './storagechanges.js'
import { hasStopSignal } from './supervisor.js'
import type { Supervisor } from './supervisor.js'

export interface DisturberOptions {
  readonly graceMs: number
  readonly hasTrouble: boolean
  /// Whether storage machines are added, replaced and retired.
  readonly changesStorage: boolean
  /// Whether instances break off, lose answers or refuse at times.
  readonly hasFaultyInstances: boolean
}

const minIntervalMs = 150
const maxIntervalMs = 1800
const maxStopsAtOnce = 2
/// Planned work lasts so long beyond its own time, by the users' rules.
const stopMarginMs = 1000
const configurationWindowMs = 3000
const configurationsInSeries = 4
const seriesIntervalMs = 330

type PlannedSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP'

const stops = ['SIGTERM', 'SIGTERM', 'SIGINT'] as const
/// A signal is followed by another one so often, after a time between these.
const repetitionShare = 0.45
const minRepetitionMs = 1
const maxRepetitionMs = 4000
/// Starts that get signals, by so long after the start.
const signalledStartShare = 0.5
const maxStartMs = 1500
const maxReadyMs = 15_000
const minFreezeMs = 300
const maxFreezeMs = 1500
const minOutageMs = 300
const maxOutageMs = 2500
const catchUpMs = 4900
const maxIdleRoutes = 40
const manyIdleRoutes = 350
const manyRoutesShare = 0.15
/// Most configurations leave the timeout of turns as it is.
const turnTimeoutsMs = [4000, 4000, 4000, 1500, 2500, 6000]
const pollIntervalMs = 50
/// Of the changes that a final fault strikes beside, so many are retirements: they are under way for the longest time.
const retirementShare = 0.6
const instanceFaults = [
  UpstreamFault.full, UpstreamFault.responseLost, UpstreamFault.broken, UpstreamFault.unframed,
  UpstreamFault.unframedReset
]
/// How long the last disturbances may take to be over.
const maxSettleMs = 20_000

/// Stops, signals, changes and troubles, in series and overlapping, as a seed orders them.
export class Disturber {
  private version = 1
  private readonly pending = new Set<Promise<void>>()
  private storageFreeAtMs = 0
  private readonly instances: readonly StandinUpstream[]
  private readonly storageChanges: StorageChanges

  constructor (
    private readonly system: StandinSystem,
    private readonly supervisor: Supervisor,
    private readonly observations: Observations,
    private readonly random: Random,
    private readonly options: DisturberOptions
  ) {
    this.instances = [...system.engines, ...system.services]
    supervisor.onStart = node => { this.start(() => this.signalStarting(node)) }
    this.storageChanges = new StorageChanges(system, supervisor, random.fork(), {
      add: text => { this.add('signal', null, 0, text) },
      addLoss: text => {
        const loss = this.add('unplanned', null, Infinity, text)
        return () => { loss.endMs = performance.now() }
      }
    })
  }

  /// Whether a disk was lost that no other one has made up for yet: another one must not be lost then.
  get isDiskMissing (): boolean {
    return this.storageChanges.isDiskMissing
  }

  private readonly planned = [
    () => this.stopEntry(),
    () => this.stopEntry(),
    () => this.stopStorage(),
    () => this.signalSettings(),
    () => this.signalSettings(),
    () => this.changeConfigurations(),
    () => this.cutWatches()
  ]

  private readonly changes = [
    () => this.changeStorage(),
    () => this.changeStorage(),
    () => this.changeStorage()
  ]

  private readonly unplanned = [
    () => this.killEntry(),
    () => this.freezeEntry(),
    () => this.killStorage(),
    () => this.failStore()
  ]

  async run (isOver: () => boolean): Promise<void> {
    const { hasTrouble, changesStorage, hasFaultyInstances } = this.options
    const actions = [
      ...this.planned,
      ...hasTrouble ? this.unplanned : [],
      ...changesStorage ? this.changes : [],
      ...hasFaultyInstances ? [() => this.failInstance()] : []
    ]
    while (!isOver()) {
      this.start(this.random.pick(actions))
      await sleep(this.random.between(minIntervalMs, maxIntervalMs))
    }
  }

  /// Resolves when all disturbances are over, or when the time is.
  async settle (): Promise<void> {
    const isOver = sleep(maxSettleMs).then(() => true)
    while (this.pending.size > 0 && await Promise.race([isOver, Promise.all(this.pending)]) !== true);
  }

  /// Starts a change among the storage machines as soon as none is under way, or when the time is over.
  async startStorageChange (timeoutMs: number): Promise<void> {
    const deadlineMs = performance.now() + timeoutMs
    const isFree = (): boolean => performance.now() >= this.storageFreeAtMs && this.supervisor.areStoragesSteady()
    while (!isFree() && performance.now() < deadlineMs) await sleep(pollIntervalMs)
    const isRetired = this.random.next() < retirementShare
    this.start(() => isRetired ? this.retireStorage() : this.changeStorage())
  }

  private start (action: () => Promise<void>): void {
    const running = action().finally(() => this.pending.delete(running))
    this.pending.add(running)
  }

  private add (kind: Disturbance['kind'], entry: SystemNode | null, durationMs: number, text: string): Disturbance {
    const startMs = performance.now()
    const endMs = startMs + durationMs
    const disturbance = { kind, entry, startMs, endMs, text: `${text} at ${Math.round(startMs)} ms` }
    this.observations.disturbances.push(disturbance)
    return disturbance
  }

  private chooseEntry (): SystemNode | null {
    const { entries } = this.system
    const free = entries.filter(entry => this.supervisor.isSteady(entry))
    return entries.length - free.length >= maxStopsAtOnce ? null : this.random.pick(free)
  }

  /// Sends a signal, and then often others in series. Those to a process that ends go to the one that follows it.
  private async signalInSeries (node: SystemNode, first: PlannedSignal): Promise<void> {
    this.signal(node, first)
    while (this.random.next() < repetitionShare) {
      await sleep(this.betweenLogarithmic(minRepetitionMs, maxRepetitionMs))
      const life = this.supervisor.life(node)
      const isStop = hasStopSignal(life) && this.random.next() < 0.7
      this.signal(node, isStop ? this.random.pick(stops) : 'SIGHUP')
    }
  }

  private signal (node: SystemNode, signal: PlannedSignal): void {
    const isFirstStop = signal !== 'SIGHUP' && !hasStopSignal(this.supervisor.life(node))
    this.supervisor.signal(node, signal)
    const text = `${signal} of ${node.name}`
    if (signal === 'SIGHUP') this.add('settings', node, 0, text)
    else if (isFirstStop) this.add('stop', node, this.options.graceMs + stopMarginMs, text)
    else this.add('signal', node, 0, `another ${text}`)
  }

  /// Signals to a process that has just been started, at the first milliseconds more often than later.
  private async signalStarting (node: SystemNode): Promise<void> {
    if (this.random.next() > signalledStartShare) return
    const life = this.supervisor.life(node)
    await sleep(this.betweenLogarithmic(1, maxStartMs))
    if (this.supervisor.life(node) !== life) return
    const others = node.role === 'storage' ? this.system.storages.filter(other => other !== node) : []
    const isOtherDown = others.some(other => !this.supervisor.isSteady(other))
    await this.signalInSeries(node, isOtherDown || this.random.next() < 0.5 ? 'SIGHUP' : this.random.pick(stops))
  }

  private betweenLogarithmic (low: number, high: number): number {
    return low * Math.pow(high / low, this.random.next())
  }

  private async stopEntry (): Promise<void> {
    const entry = this.chooseEntry()
    if (entry === null) return
    await this.stopNode(entry)
  }

  private async stopNode (node: SystemNode): Promise<void> {
    const life = this.supervisor.life(node)
    const signals = this.signalInSeries(node, this.random.pick(stops))
    await this.supervisor.waitUntilReadyAfter(life, this.options.graceMs + maxReadyMs)
    await signals
  }

  private async stopStorage (): Promise<void> {
    await this.disturbStorage(storage => this.stopNode(storage))
  }

  private async signalSettings (): Promise<void> {
    const node = this.random.pick(this.system.nodes)
    const share = this.random.between(0.3, 1).toFixed(2)
    await this.system.changeSettings(node, text => text.replace(/^(processor_share = .*\n)?tolerated/m, `processor_share = ${share}\ntolerated`))
    await this.signalInSeries(node, 'SIGHUP')
  }

  private async changeConfigurations (): Promise<void> {
    const count = 1 + Math.floor(this.random.next() * configurationsInSeries)
    for (let i = 0; i < count; i++) {
      this.version += 1 + Math.floor(this.random.next() * 3)
      const hasMany = this.random.next() < manyRoutesShare
      const idleRoutes = hasMany ? manyIdleRoutes : Math.floor(this.random.next() * maxIdleRoutes)
      const timeoutMs = this.random.pick(turnTimeoutsMs)
      this.system.store.put('config', 'main', createConfiguration(this.version, idleRoutes, timeoutMs))
      this.observations.timeouts.push({ sinceMs: performance.now(), timeoutMs })
      this.add('configuration', null, configurationWindowMs, `configuration ${this.version} with ${idleRoutes} idle routes and ${timeoutMs} ms`)
      await sleep(seriesIntervalMs)
    }
  }

  private async cutWatches (): Promise<void> {
    this.system.store.compactHistory()
  }

  private async retireStorage (): Promise<void> {
    await this.disturbStorage(storage => this.storageChanges.retire(storage))
  }

  private async killEntry (): Promise<void> {
    const entry = this.chooseEntry()
    if (entry === null) return
    await this.kill(entry, false)
  }

  private async kill (node: SystemNode, losesDisk: boolean): Promise<void> {
    const life = this.supervisor.life(node)
    const entry = node.role === 'entry' ? node : null
    const trouble = this.add('unplanned', entry, Infinity, `SIGKILL of ${node.name}${losesDisk ? ', which loses its disk' : ''}`)
    this.supervisor.kill(node, losesDisk)
    await this.supervisor.waitUntilReadyAfter(life, maxReadyMs)
    trouble.endMs = performance.now()
  }

  private async freezeEntry (): Promise<void> {
    const entry = this.random.pick(this.system.entries)
    const { process } = entry
    const durationMs = this.random.between(minFreezeMs, maxFreezeMs)
    this.add('unplanned', entry, durationMs, `SIGSTOP of ${entry.name} for ${Math.round(durationMs)} ms`)
    process.kill('SIGSTOP')
    await sleep(durationMs)
    process.kill('SIGCONT')
  }

  /// Storage instances are disturbed one at a time, and the next one no sooner than the last one has caught up.
  private async disturbStorage (disturb: (storage: SystemNode) => Promise<void>): Promise<void> {
    if (performance.now() < this.storageFreeAtMs || !this.supervisor.areStoragesSteady()) return
    this.storageFreeAtMs = Infinity
    await disturb(this.random.pick(this.system.storages))
    await this.waitForStorages()
    this.storageChanges.isDiskMissing = false
    this.storageFreeAtMs = performance.now()
  }

  /// Resolves when all storage instances have caught up.
  private async waitForStorages (): Promise<void> {
    const size = (): number => Math.min(this.system.storages.length, computeFullSize(1))
    while (!this.supervisor.areStoragesSteady() || this.system.countServingMembers() < size()) await sleep(100)
    await sleep(catchUpMs)
  }

  private async changeStorage (): Promise<void> {
    await this.disturbStorage(storage => this.storageChanges.play(storage))
  }

  private async killStorage (): Promise<void> {
    const losesDisk = this.random.next() < 0.5
    await this.disturbStorage(async storage => {
      if (losesDisk) this.storageChanges.isDiskMissing = true
      await this.kill(storage, losesDisk)
    })
  }

  /// The rules say themselves what doesn't count of a request that a faulty instance ran.
  private async failInstance (): Promise<void> {
    const upstream = this.random.pick(this.instances)
    if (upstream.fault !== UpstreamFault.none) return
    upstream.fault = this.random.pick(instanceFaults)
    const durationMs = this.random.between(minOutageMs, maxOutageMs)
    this.add('signal', null, durationMs, `${upstream.options.id} is ${upstream.fault} for ${Math.round(durationMs)} ms`)
    await sleep(durationMs)
    upstream.fault = UpstreamFault.none
  }

  private async failStore (): Promise<void> {
    const { store } = this.system
    if (store.fault !== StoreFault.none) return
    store.fault = this.random.pick([StoreFault.busy, StoreFault.silent, StoreFault.reset, StoreFault.responseLost])
    const durationMs = this.random.between(minOutageMs, maxOutageMs)
    this.add('unplanned', null, durationMs, `the store is ${store.fault} for ${Math.round(durationMs)} ms`)
    await sleep(durationMs)
    store.fault = StoreFault.none
  }
}
