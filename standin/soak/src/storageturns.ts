import { sleep } from '#process/clock'
import { computeFullSize } from '#process/membership'
import type { StandinSystem, SystemNode } from '#standin/system'
import type { Random } from './random.js'
import type { Supervisor } from './supervisor.js'

const catchUpMs = 4900
const servingIntervalMs = 100
const pollIntervalMs = 50

/// Disturbs storage instances one at a time, and the next one no sooner than the last one has caught up.
export class StorageTurns {
  /// Whether a disk was lost that no other one has made up for yet: another one must not be lost then.
  isDiskMissing = false
  private freeAtMs = 0

  constructor (
    private readonly system: StandinSystem,
    private readonly supervisor: Supervisor,
    private readonly random: Random
  ) {}

  /// Disturbs an instance, unless another disturbance isn't over.
  async disturb (action: (storage: SystemNode) => Promise<void>): Promise<void> {
    if (!this.isFree()) return
    this.freeAtMs = Infinity
    await action(this.random.pick(this.system.storages))
    await this.waitForStorages()
    this.isDiskMissing = false
    this.freeAtMs = performance.now()
  }

  /// Resolves when no disturbance is under way, or when the time is over.
  async waitUntilFree (timeoutMs: number): Promise<void> {
    const deadlineMs = performance.now() + timeoutMs
    while (!this.isFree() && performance.now() < deadlineMs) await sleep(pollIntervalMs)
  }

  private isFree (): boolean {
    return performance.now() >= this.freeAtMs && this.supervisor.areStoragesSteady()
  }

  /// Resolves when all storage instances have caught up.
  private async waitForStorages (): Promise<void> {
    const { system, supervisor } = this
    const size = (): number => Math.min(system.storages.length, computeFullSize(1))
    while (!supervisor.areStoragesSteady() || system.countServingMembers() < size()) await sleep(servingIntervalMs)
    await sleep(catchUpMs)
  }
}
