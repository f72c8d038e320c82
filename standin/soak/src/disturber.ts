import { sleep } from '#process/clock'
import { createConfiguration } from '#standin/system'
import type { StandinSystem, SystemNode } from '#standin/system'
import { StoreFault } from '#standin/store'
import type { Disturbance, Observations } from './observations.js'
import type { Random } from './random.js'

export interface DisturberOptions {
  readonly graceMs: number
  readonly hasTrouble: boolean
}

const minIntervalMs = 150
const maxIntervalMs = 1800
const maxStopsAtOnce = 2
/// Planned work lasts so long beyond its own time, by the users' rules.
const stopMarginMs = 1000
const configurationWindowMs = 3000
const configurationsInSeries = 4
const seriesIntervalMs = 330
const minFreezeMs = 300
const maxFreezeMs = 1500
const minOutageMs = 300
const maxOutageMs = 2500
/// Storage instances are disturbed one at a time: the system tolerates the loss of one.
const catchUpMs = 4900
const maxIdleRoutes = 40

/// Stops, changes and troubles, in series and overlapping, as a seed orders them.
export class Disturber {
  private version = 1
  private readonly stopping = new Set<SystemNode>()
  private readonly pending = new Set<Promise<void>>()
  private storageFreeAtMs = 0

  constructor (
    private readonly system: StandinSystem,
    private readonly observations: Observations,
    private readonly random: Random,
    private readonly options: DisturberOptions
  ) {}

  private readonly planned = [
    () => this.stopEntry(),
    () => this.stopEntry(),
    () => this.signalSettings(),
    () => this.changeConfigurations(),
    () => this.cutWatches()
  ]

  private readonly unplanned = [
    () => this.killEntry(),
    () => this.freezeEntry(),
    () => this.disturbStorage(),
    () => this.failStore()
  ]

  async run (isOver: () => boolean): Promise<void> {
    const actions = this.options.hasTrouble ? [...this.planned, ...this.unplanned] : this.planned
    while (!isOver()) {
      const action = this.random.pick(actions)().finally(() => this.pending.delete(action))
      this.pending.add(action)
      await sleep(this.random.between(minIntervalMs, maxIntervalMs))
    }
    await Promise.all(this.pending)
  }

  private add (kind: Disturbance['kind'], entry: SystemNode | null, durationMs: number, text: string): Disturbance {
    const startMs = performance.now()
    const endMs = startMs + durationMs
    const disturbance = { kind, entry, startMs, endMs, text: `${text} at ${Math.round(startMs)} ms` }
    this.observations.disturbances.push(disturbance)
    return disturbance
  }

  private chooseEntry (): SystemNode | null {
    const free = this.system.entries.filter(entry => !this.stopping.has(entry))
    return this.stopping.size >= maxStopsAtOnce ? null : this.random.pick(free)
  }

  private async restart (entry: SystemNode, signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    this.stopping.add(entry)
    const kill = setTimeout(() => entry.process.kill('SIGKILL'), this.options.graceMs)
    await this.system.restart(entry, signal, false)
    clearTimeout(kill)
    await this.waitUntilReady(entry)
    this.stopping.delete(entry)
  }

  private async waitUntilReady ({ readinessAddress }: SystemNode): Promise<void> {
    for (let i = 0; i < 100; i++) {
      const response = await fetch(`http://${readinessAddress}/readyz`).catch(() => null)
      if (response?.ok === true) return
      await sleep(100)
    }
  }

  private async stopEntry (): Promise<void> {
    const entry = this.chooseEntry()
    if (entry === null) return
    this.add('stop', entry, this.options.graceMs + stopMarginMs, `SIGTERM of ${entry.name}`)
    await this.restart(entry, 'SIGTERM')
  }

  private async signalSettings (): Promise<void> {
    const entry = this.random.pick(this.system.entries)
    if (this.stopping.has(entry)) return
    const share = this.random.between(0.3, 1).toFixed(2)
    await this.system.changeSettings(entry, text => text.replace(/^(processor_share = .*\n)?tolerated/m, `processor_share = ${share}\ntolerated`))
    this.add('settings', entry, 0, `SIGHUP of ${entry.name}`)
    entry.process.kill('SIGHUP')
  }

  private async changeConfigurations (): Promise<void> {
    const count = 1 + Math.floor(this.random.next() * configurationsInSeries)
    for (let i = 0; i < count; i++) {
      this.version += 1 + Math.floor(this.random.next() * 3)
      this.system.store.put('config', 'main', createConfiguration(this.version, Math.floor(this.random.next() * maxIdleRoutes)))
      this.add('configuration', null, configurationWindowMs, `configuration ${this.version}`)
      await sleep(seriesIntervalMs)
    }
  }

  private async cutWatches (): Promise<void> {
    this.system.store.compactHistory()
  }

  private async killEntry (): Promise<void> {
    const entry = this.chooseEntry()
    if (entry === null) return
    const kill = this.add('unplanned', entry, Infinity, `SIGKILL of ${entry.name}`)
    await this.restart(entry, 'SIGKILL')
    kill.endMs = performance.now()
  }

  private async freezeEntry (): Promise<void> {
    const entry = this.random.pick(this.system.entries)
    if (this.stopping.has(entry)) return
    const durationMs = this.random.between(minFreezeMs, maxFreezeMs)
    this.add('unplanned', entry, durationMs, `SIGSTOP of ${entry.name} for ${Math.round(durationMs)} ms`)
    entry.process.kill('SIGSTOP')
    await sleep(durationMs)
    entry.process.kill('SIGCONT')
  }

  private async disturbStorage (): Promise<void> {
    if (performance.now() < this.storageFreeAtMs) return
    this.storageFreeAtMs = Infinity
    const storage = this.random.pick(this.system.storages)
    const losesDisk = this.random.next() < 0.5
    const trouble = this.add('unplanned', null, Infinity, `SIGKILL of ${storage.name}${losesDisk ? ', which loses its disk' : ''}`)
    await this.system.restart(storage, 'SIGKILL', losesDisk)
    while (this.system.countServingMembers() < this.system.storages.length) await sleep(100)
    trouble.endMs = performance.now()
    this.storageFreeAtMs = trouble.endMs + catchUpMs
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
