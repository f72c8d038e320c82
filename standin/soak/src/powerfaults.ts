import type { DisturbanceLog } from './disturbancelog.js'
import type { Random } from './random.js'
import type { StorageTurns } from './storageturns.js'
import type { Supervisor } from './supervisor.js'
import type { StandinSystem, SystemNode } from '#standin/system'

export interface PowerFaultOptions {
  readonly system: StandinSystem
  readonly supervisor: Supervisor
  readonly log: DisturbanceLog
  readonly storageTurns: StorageTurns
  readonly random: Random
}

const maxReadyMs = 15_000
const downMs = 1000

/// Machines that lose power, in the middle of the traffic: a storage machine, all of them, or all machines at once.
export class PowerFaults {
  constructor (private readonly options: PowerFaultOptions) {}

  readonly actions: readonly (() => Promise<void>)[] = [
    () => this.cutOne(),
    () => this.cutOne(),
    () => this.cutAll(({ storages }) => storages, 'all storage machines lose'),
    () => this.cutAll(({ nodes }) => nodes, 'all machines lose')
  ]

  private async cutOne (): Promise<void> {
    const { supervisor, storageTurns, random } = this.options
    await storageTurns.disturb(async storage => {
      await this.cut([storage], `${storage.name} loses`, () => { supervisor.cutPower(storage, random.fork()) })
    })
  }

  private async cutAll (choose: (system: StandinSystem) => readonly SystemNode[], text: string): Promise<void> {
    const { system, supervisor, storageTurns, random } = this.options
    await storageTurns.disturb(async () => {
      const nodes = [...choose(system)]
      await this.cut(nodes, text, () => { supervisor.killAll(nodes, null, downMs, random.fork()) })
    })
  }

  private async cut (nodes: readonly SystemNode[], text: string, act: () => void): Promise<void> {
    const { supervisor, log } = this.options
    const lives = nodes.map(node => supervisor.life(node))
    const trouble = log.add('unplanned', null, Infinity, `${text} power`)
    act()
    const ready = Promise.all(lives.map(life => supervisor.waitUntilReadyAfter(life, maxReadyMs)))
    await Promise.all(lives.map(life => supervisor.waitUntilStartedAfter(life, maxReadyMs)))
    trouble.endMs = performance.now()
    await ready
  }
}
