import { sleep } from '#process/clock'
import type { StandinSystem, SystemNode } from '#standin/system'
import type { Random } from './random.js'
import type { Supervisor } from './supervisor.js'

/// Where the changes are noted.
export interface ChangeLog {
  /// Notes a planned step.
  add (text: string): void
  /// Notes that a machine loses its disk. The function that it returns says that the loss is over.
  addLoss (text: string): () => void
}

const maxReadyMs = 15_000
const maxRetirementMs = 9000
const pollIntervalMs = 50
const minReplacementMs = 200
const maxReplacementMs = 1500
const minStorages = 3
const maxStorages = 4
/// Retirements after which another machine loses its disk at once.
const wipeShare = 0.3

/// Changes among the storage machines that the operator plans, or that a lost machine brings with it.
export class StorageChanges {
  constructor (
    private readonly system: StandinSystem,
    private readonly supervisor: Supervisor,
    private readonly random: Random,
    private readonly log: ChangeLog
  ) {}

  private readonly changes = [
    (storage: SystemNode) => this.add(storage),
    (storage: SystemNode) => this.replace(storage),
    (storage: SystemNode) => this.retire(storage),
    (storage: SystemNode) => this.replaceAndRetire(storage)
  ]

  /// Plays one change.
  async play (storage: SystemNode): Promise<void> {
    const isFull = this.system.storages.length > maxStorages
    await (isFull ? this.retire(storage) : this.random.pick(this.changes)(storage))
  }

  private async add (_: SystemNode): Promise<void> {
    this.log.add('a storage machine is added')
    await this.addReady()
  }

  /// The machine is gone for good, and an empty one comes at another address.
  private async replace (storage: SystemNode): Promise<void> {
    const endLoss = this.log.addLoss(`${storage.name} is gone for good`)
    await this.supervisor.remove(storage)
    await sleep(this.random.between(minReplacementMs, maxReplacementMs))
    this.log.add(`a storage machine replaces ${storage.name}`)
    await this.addReady(endLoss)
  }

  /// Asks that a machine be emptied, and takes it away with its disk as soon as that is completed.
  async retire (storage: SystemNode): Promise<void> {
    const { store } = this.system
    this.log.add(`${storage.name} is to be retired`)
    store.put('retirements', storage.name, { finish_by_s: maxRetirementMs / 1000 })
    const deadlineMs = performance.now() + maxRetirementMs
    const isCompleted = (): boolean => {
      const status = store.get('retirements', storage.name)?.status as { state?: string } | null | undefined
      return status?.state === 'completed'
    }
    while (!isCompleted() && performance.now() < deadlineMs) await sleep(pollIntervalMs)
    if (!isCompleted()) {
      this.log.add(`the retirement of ${storage.name} isn't completed`)
      store.remove('retirements', storage.name)
      return
    }
    this.log.add(`${storage.name} is retired and taken away`)
    await this.supervisor.remove(storage)
    const wiping = this.random.next() < wipeShare ? this.wipeAnother() : null
    if (this.system.storages.length < minStorages) await this.add(storage)
    await wiping
  }

  /// Right after a retirement another machine loses its disk.
  private async wipeAnother (): Promise<void> {
    const wiped = this.random.pick(this.system.storages)
    const life = this.supervisor.life(wiped)
    const endLoss = this.log.addLoss(`${wiped.name} is killed and loses its disk`)
    this.supervisor.kill(wiped, true)
    const ready = this.supervisor.waitUntilReadyAfter(life, maxReadyMs)
    await this.supervisor.waitUntilStartedAfter(life, maxReadyMs)
    endLoss()
    await ready
  }

  private async replaceAndRetire (storage: SystemNode): Promise<void> {
    await this.add(storage)
    await this.retire(storage)
  }

  private async addReady (onStarted = (): void => {}): Promise<void> {
    const added = await this.supervisor.addStorage()
    onStarted()
    const deadlineMs = performance.now() + maxReadyMs
    while (!this.supervisor.isSteady(added) && performance.now() < deadlineMs) await sleep(pollIntervalMs)
  }
}
