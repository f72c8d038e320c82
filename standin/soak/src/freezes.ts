import type { DisturbanceContext } from './disturbancecontext.js'

const minMs = 2000
const maxMs = 9000

/// Processes that are stopped for so long that others take them for lost, and that then go on where they were.
export class Freezes {
  constructor (private readonly context: DisturbanceContext) {}

  readonly actions: readonly (() => Promise<void>)[] = [
    () => this.freezeEntry(),
    () => this.freezeStorage(),
    () => this.freezeStorage()
  ]

  private async freezeEntry (): Promise<void> {
    const { system, supervisor, log, random } = this.context
    const entry = random.pick(system.entries)
    const durationMs = random.between(minMs, maxMs)
    log.add('unplanned', entry, durationMs, `SIGSTOP of ${entry.name} for ${Math.round(durationMs)} ms`)
    await supervisor.freeze(entry, durationMs)
  }

  private async freezeStorage (): Promise<void> {
    const { supervisor, log, storageTurns, random } = this.context
    const durationMs = random.between(minMs, maxMs)
    await storageTurns.disturb(async storage => {
      log.add('unplanned', null, durationMs, `SIGSTOP of ${storage.name} for ${Math.round(durationMs)} ms`, storage)
      await supervisor.freeze(storage, durationMs)
    })
  }
}
