import { sleep } from '#process/clock'
import type { MachineBehaviour } from '#standin/machine'
import type { DisturbanceContext } from './disturbancecontext.js'

const minMs = 300
const maxMs = 4000
const maxFullMs = 1500
const minSyncDelayMs = 5
const maxSyncDelayMs = 400
const maxClockAheadMs = 6000

/// Storage machines whose disk is slow or full, or whose clock steps.
export class MachineFaults {
  constructor (private readonly context: DisturbanceContext) {}

  readonly actions: readonly (() => Promise<void>)[] = [
    () => this.slowDisk(),
    () => this.slowDisk(),
    () => this.fillDisk(),
    () => this.stepClock()
  ]

  private async slowDisk (): Promise<void> {
    const { random } = this.context
    const syncDelayMs = Math.round(random.between(minSyncDelayMs, maxSyncDelayMs))
    await this.disturb(`syncs take ${syncDelayMs} ms longer`, { syncDelayMs }, random.between(minMs, maxMs))
  }

  private async fillDisk (): Promise<void> {
    await this.disturb('the disk is full', { isDiskFull: true }, this.context.random.between(minMs, maxFullMs))
  }

  private async stepClock (): Promise<void> {
    const { random } = this.context
    const clockAheadMs = Math.round(random.between(-maxClockAheadMs, maxClockAheadMs))
    await this.disturb(`the clock is ${clockAheadMs} ms ahead`, { clockAheadMs }, random.between(minMs, maxMs))
  }

  private async disturb (
    text: string, changes: Partial<Omit<MachineBehaviour, 'links'>>, durationMs: number
  ): Promise<void> {
    const { system, machines, log, random } = this.context
    const node = random.pick(system.storages)
    log.add('unplanned', null, durationMs, `${node.name}: ${text} for ${Math.round(durationMs)} ms`, node)
    const end = machines.disturb(node, changes)
    await sleep(durationMs)
    end()
  }
}
