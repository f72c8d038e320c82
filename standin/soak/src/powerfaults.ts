import type { StandinSystem, SystemNode } from '#standin/system'
import type { DisturbanceContext } from './disturbancecontext.js'

const maxReadyMs = 15_000
const downMs = 1000

/// Machines that lose power, in the middle of the traffic: a storage machine, all of them, or all machines at once.
export class PowerFaults {
  constructor (private readonly context: DisturbanceContext) {}

  readonly actions: readonly (() => Promise<void>)[] = [
    () => this.cutOne(),
    () => this.cutOne(),
    () => this.cutAll(({ storages }) => storages, 'all storage machines lose'),
    () => this.cutAll(({ nodes }) => nodes, 'all machines lose')
  ]

  private async cutOne (): Promise<void> {
    const { supervisor, storageTurns, random } = this.context
    await storageTurns.disturb(async storage => {
      await this.cut([storage], `${storage.name} loses`, () => { supervisor.cutPower(storage, random.fork()) })
    })
  }

  private async cutAll (choose: (system: StandinSystem) => readonly SystemNode[], text: string): Promise<void> {
    const { system, supervisor, storageTurns, random } = this.context
    await storageTurns.disturb(async () => {
      const nodes = [...choose(system)]
      await this.cut(nodes, text, () => { supervisor.killAll(nodes, null, downMs, random.fork()) })
    })
  }

  private async cut (nodes: readonly SystemNode[], text: string, act: () => void): Promise<void> {
    const { supervisor, log } = this.context
    const lives = nodes.map(node => supervisor.life(node))
    const trouble = log.add('unplanned', null, Infinity, `${text} power`)
    act()
    const ready = Promise.all(lives.map(life => supervisor.waitUntilReadyAfter(life, maxReadyMs)))
    await Promise.all(lives.map(life => supervisor.waitUntilStartedAfter(life, maxReadyMs)))
    trouble.endMs = performance.now()
    await ready
  }
}
