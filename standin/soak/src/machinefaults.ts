import { sleep } from '#process/clock'
import type { MachineBehaviour } from '#standin/machine'
import type { StandinSystem } from '#standin/system'
import type { DisturbanceLog } from './disturbancelog.js'
import type { Machines } from './machines.js'
import type { Random } from './random.js'

export interface MachineFaultOptions {
  readonly system: StandinSystem
  readonly machines: Machines
  readonly log: DisturbanceLog
  readonly random: Random
}

const minMs = 300
const maxMs = 4000
const maxFullMs = 1500
const minSyncDelayMs = 5
const maxSyncDelayMs = 400
const maxClockAheadMs = 6000

/// Storage machines whose disk is slow or full, or whose clock steps.
export class MachineFaults {
  constructor (private readonly options: MachineFaultOptions) {}

  readonly actions: readonly (() => Promise<void>)[] = [
    () => this.slowDisk(),
    () => this.slowDisk(),
    () => this.fillDisk(),
    () => this.stepClock()
  ]

  private async slowDisk (): Promise<void> {
    const { random } = this.options
    const syncDelayMs = Math.round(random.between(minSyncDelayMs, maxSyncDelayMs))
    await this.disturb(`syncs take ${syncDelayMs} ms longer`, { syncDelayMs }, random.between(minMs, maxMs))
  }

  private async fillDisk (): Promise<void> {
    await this.disturb('the disk is full', { isDiskFull: true }, this.options.random.between(minMs, maxFullMs))
  }

  private async stepClock (): Promise<void> {
    const { random } = this.options
    const clockAheadMs = Math.round(random.between(-maxClockAheadMs, maxClockAheadMs))
    await this.disturb(`the clock is ${clockAheadMs} ms ahead`, { clockAheadMs }, random.between(minMs, maxMs))
  }

  private async disturb (
    text: string, changes: Partial<Omit<MachineBehaviour, 'links'>>, durationMs: number
  ): Promise<void> {
    const { system, machines, log, random } = this.options
    const node = random.pick(system.storages)
    log.add('unplanned', null, durationMs, `${node.name}: ${text} for ${Math.round(durationMs)} ms`, node)
    const end = machines.disturb(node, changes)
    await sleep(durationMs)
    end()
  }
}
