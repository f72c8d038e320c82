import { sleep } from '#process/clock'
import { StoreFault } from '#standin/store'
import type { SystemNode } from '#standin/system'
import { UpstreamFault } from '#standin/upstream'
import type { StandinUpstream } from '#standin/upstream'
import type { DisturbanceContext } from './disturbancecontext.js'
import { chooseEntry } from './entrychoice.js'

const maxReadyMs = 15_000
const minFreezeMs = 300
const maxFreezeMs = 1500
const minOutageMs = 300
const maxOutageMs = 2500
const diskLossShare = 0.5
const storeFaults = [StoreFault.busy, StoreFault.silent, StoreFault.reset, StoreFault.responseLost]
const instanceFaults = [
  UpstreamFault.full, UpstreamFault.responseLost, UpstreamFault.broken, UpstreamFault.unframed,
  UpstreamFault.unframedReset
]

/// What nobody does on purpose: processes that are killed or frozen, outages of the store, instances that fail.
export class Faults {
  private readonly instances: readonly StandinUpstream[]

  constructor (private readonly context: DisturbanceContext) {
    const { engines, services } = context.system
    this.instances = [...engines, ...services]
  }

  readonly actions: readonly (() => Promise<void>)[] = [
    () => this.killEntry(),
    () => this.freezeEntry(),
    () => this.killStorage(),
    () => this.failStore()
  ]

  /// The rules say themselves what doesn't count of a request that a faulty instance ran.
  async failInstance (): Promise<void> {
    const { log, random } = this.context
    const upstream = random.pick(this.instances)
    if (upstream.fault !== UpstreamFault.none) return
    upstream.fault = random.pick(instanceFaults)
    const durationMs = random.between(minOutageMs, maxOutageMs)
    log.add('signal', null, durationMs, `${upstream.options.id} is ${upstream.fault} for ${Math.round(durationMs)} ms`)
    await sleep(durationMs)
    upstream.fault = UpstreamFault.none
  }

  private async killEntry (): Promise<void> {
    const { system, supervisor, random } = this.context
    const entry = chooseEntry(system, supervisor, random)
    if (entry === null) return
    await this.kill(entry, false)
  }

  private async killStorage (): Promise<void> {
    const { storageTurns, random } = this.context
    const losesDisk = random.next() < diskLossShare
    await storageTurns.disturb(async storage => {
      if (losesDisk) storageTurns.isDiskMissing = true
      await this.kill(storage, losesDisk)
    })
  }

  private async kill (node: SystemNode, losesDisk: boolean): Promise<void> {
    const { supervisor, log } = this.context
    const life = supervisor.life(node)
    const entry = node.role === 'entry' ? node : null
    const trouble = log.add('unplanned', entry, Infinity, `SIGKILL of ${node.name}${losesDisk ? ', which loses its disk' : ''}`)
    supervisor.kill(node, losesDisk)
    const ready = supervisor.waitUntilReadyAfter(life, maxReadyMs)
    await supervisor.waitUntilStartedAfter(life, maxReadyMs)
    trouble.endMs = performance.now()
    await ready
  }

  private async freezeEntry (): Promise<void> {
    const { system, supervisor, log, random } = this.context
    const entry = random.pick(system.entries)
    const durationMs = random.between(minFreezeMs, maxFreezeMs)
    log.add('unplanned', entry, durationMs, `SIGSTOP of ${entry.name} for ${Math.round(durationMs)} ms`)
    await supervisor.freeze(entry, durationMs)
  }

  private async failStore (): Promise<void> {
    const { system, log, random } = this.context
    const { store } = system
    if (store.fault !== StoreFault.none) return
    store.fault = random.pick(storeFaults)
    const durationMs = random.between(minOutageMs, maxOutageMs)
    log.add('unplanned', null, durationMs, `the store is ${store.fault} for ${Math.round(durationMs)} ms`)
    await sleep(durationMs)
    store.fault = StoreFault.none
  }
}
