import { sleep } from '#process/clock'
import { createConfiguration } from '#standin/system'
import type { SystemNode } from '#standin/system'
import type { DisturbanceContext } from './disturbancecontext.js'
import { chooseEntry } from './entrychoice.js'
import { hasStopSignal } from './supervisor.js'

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
/// Signals to a process that ends, of which so many are stops.
const repeatedStopShare = 0.7
/// Starts that get signals, by so long after the start.
const signalledStartShare = 0.5
const maxStartMs = 1500
const maxReadyMs = 15_000
const maxIdleRoutes = 40
const manyIdleRoutes = 350
const manyRoutesShare = 0.15
/// Most configurations leave the timeout of turns as it is.
const turnTimeoutsMs = [4000, 4000, 4000, 1500, 2500, 6000]

/// What the platform and the operator do on purpose: stops, signals and configurations.
export class PlannedWork {
  private version = 1

  constructor (private readonly context: DisturbanceContext) {}

  readonly actions: readonly (() => Promise<void>)[] = [
    () => this.stopEntry(),
    () => this.stopEntry(),
    () => this.stopStorage(),
    () => this.signalSettings(),
    () => this.signalSettings(),
    () => this.changeConfigurations(),
    () => this.cutWatches()
  ]

  /// Signals to a process that has just been started, at the first milliseconds more often than later.
  async signalStarting (node: SystemNode): Promise<void> {
    const { system, supervisor, random } = this.context
    if (random.next() > signalledStartShare) return
    const life = supervisor.life(node)
    await sleep(this.betweenLogarithmic(1, maxStartMs))
    if (supervisor.life(node) !== life) return
    const others = node.role === 'storage' ? system.storages.filter(other => other !== node) : []
    const isOtherDown = others.some(other => !supervisor.isSteady(other))
    await this.signalInSeries(node, isOtherDown || random.next() < 0.5 ? 'SIGHUP' : random.pick(stops))
  }

  /// Sends a signal, and then often others in series. Those to a process that ends go to the one that follows it.
  private async signalInSeries (node: SystemNode, first: PlannedSignal): Promise<void> {
    const { supervisor, random } = this.context
    this.signal(node, first)
    while (random.next() < repetitionShare) {
      await sleep(this.betweenLogarithmic(minRepetitionMs, maxRepetitionMs))
      const life = supervisor.life(node)
      const isStop = hasStopSignal(life) && random.next() < repeatedStopShare
      this.signal(node, isStop ? random.pick(stops) : 'SIGHUP')
    }
  }

  private signal (node: SystemNode, signal: PlannedSignal): void {
    const { supervisor, log, graceMs } = this.context
    const isFirstStop = signal !== 'SIGHUP' && !hasStopSignal(supervisor.life(node))
    supervisor.signal(node, signal)
    const text = `${signal} of ${node.name}`
    if (signal === 'SIGHUP') log.add('settings', node, 0, text)
    else if (isFirstStop) log.add('stop', node, graceMs + stopMarginMs, text)
    else log.add('signal', node, 0, `another ${text}`)
  }

  private betweenLogarithmic (low: number, high: number): number {
    return low * Math.pow(high / low, this.context.random.next())
  }

  private async stopEntry (): Promise<void> {
    const { system, supervisor, random } = this.context
    const entry = chooseEntry(system, supervisor, random)
    if (entry === null) return
    await this.stopNode(entry)
  }

  private async stopNode (node: SystemNode): Promise<void> {
    const { supervisor, random, graceMs } = this.context
    const life = supervisor.life(node)
    const signals = this.signalInSeries(node, random.pick(stops))
    await supervisor.waitUntilReadyAfter(life, graceMs + maxReadyMs)
    await signals
  }

  private async stopStorage (): Promise<void> {
    await this.context.storageTurns.disturb(storage => this.stopNode(storage))
  }

  private async signalSettings (): Promise<void> {
    const { system, random } = this.context
    const node = random.pick(system.nodes)
    const share = random.between(0.3, 1).toFixed(2)
    await system.changeSettings(node, text => text.replace(/^(processor_share = .*\n)?tolerated/m, `processor_share = ${share}\ntolerated`))
    await this.signalInSeries(node, 'SIGHUP')
  }

  private async changeConfigurations (): Promise<void> {
    const { system, observations, log, random } = this.context
    const count = 1 + Math.floor(random.next() * configurationsInSeries)
    for (let i = 0; i < count; i++) {
      this.version += 1 + Math.floor(random.next() * 3)
      const hasMany = random.next() < manyRoutesShare
      const idleRoutes = hasMany ? manyIdleRoutes : Math.floor(random.next() * maxIdleRoutes)
      const timeoutMs = random.pick(turnTimeoutsMs)
      system.store.put('config', 'main', createConfiguration(this.version, idleRoutes, timeoutMs))
      observations.timeouts.push({ sinceMs: performance.now(), timeoutMs })
      log.add('configuration', null, configurationWindowMs, `configuration ${this.version} with ${idleRoutes} idle routes and ${timeoutMs} ms`)
      await sleep(seriesIntervalMs)
    }
  }

  private async cutWatches (): Promise<void> {
    this.context.system.store.compactHistory()
  }
}
