import { sleep } from '#process/clock'
import type { StandinSystem } from '#standin/system'
import type { StandinUpstream } from '#standin/upstream'
import { DisturbanceLog } from './disturbancelog.js'
import { Faults } from './faults.js'
import { MachineFaults } from './machinefaults.js'
import { Machines } from './machines.js'
import { NetworkFaults } from './networkfaults.js'
import type { Observations } from './observations.js'
import { PlannedWork } from './plannedwork.js'
import { PowerFaults } from './powerfaults.js'
import type { Random } from './random.js'
import { StorageChanges } from './storagechanges.js'
import { StorageTurns } from './storageturns.js'
import type { Supervisor } from './supervisor.js'
import { WorkerChanges } from './workerchanges.js'

export interface DisturberOptions {
  readonly graceMs: number
  readonly hasTrouble: boolean
  /// Whether storage machines are added, replaced and retired.
  readonly changesStorage: boolean
  /// Whether instances break off, lose answers or refuse at times.
  readonly hasFaultyInstances: boolean
  /// Whether machines lose power.
  readonly losesPower?: boolean
  /// Whether links between machines, and of single machines to the store, are cut, slow or go silent.
  readonly cutsLinks?: boolean
  /// Whether disks are slow or full, and clocks step.
  readonly disturbsDisks?: boolean
  /// Whether instances come and go, answer early or send more than their answers.
  readonly changesWorkers?: boolean
  /// Called with each instance that is added.
  readonly onAddInstance?: (instance: StandinUpstream) => void
}

const minIntervalMs = 150
const maxIntervalMs = 1800
/// Of the changes that a final fault strikes beside, so many are retirements: they are under way for the longest time.
const retirementShare = 0.6
/// How long the last disturbances may take to be over.
const maxSettleMs = 20_000

/// Starts planned work, changes among storage machines and faults, in series and overlapping, as a seed orders them.
export class Disturber {
  private readonly pending = new Set<Promise<void>>()
  private readonly storageTurns: StorageTurns
  private readonly storageChanges: StorageChanges
  private readonly plannedWork: PlannedWork
  private readonly faults: Faults
  private readonly powerFaults: PowerFaults
  private readonly networkFaults: NetworkFaults
  private readonly machineFaults: MachineFaults
  private readonly workerChanges: WorkerChanges

  constructor (
    system: StandinSystem,
    supervisor: Supervisor,
    observations: Observations,
    private readonly random: Random,
    private readonly options: DisturberOptions
  ) {
    const log = new DisturbanceLog(observations)
    const storageTurns = new StorageTurns(system, supervisor, random)
    this.storageTurns = storageTurns
    this.plannedWork = new PlannedWork({
      system, supervisor, observations, log, storageTurns, random, graceMs: options.graceMs
    })
    this.faults = new Faults({ system, supervisor, log, storageTurns, random })
    this.powerFaults = new PowerFaults({ system, supervisor, log, storageTurns, random })
    const machines = new Machines()
    supervisor.onLaunch = node => machines.restore(node)
    this.networkFaults = new NetworkFaults({ system, machines, log, random })
    this.machineFaults = new MachineFaults({ system, machines, log, random })
    const { onAddInstance = () => {} } = options
    this.workerChanges = new WorkerChanges({ system, log, random, onAdd: onAddInstance })
    this.storageChanges = new StorageChanges(system, supervisor, random.fork(), {
      add: text => { log.add('signal', null, 0, text) },
      addLoss: text => {
        const loss = log.add('unplanned', null, Infinity, text)
        storageTurns.isDiskMissing = true
        return () => { loss.endMs = performance.now() }
      }
    })
    supervisor.onStart = node => { this.start(() => this.plannedWork.signalStarting(node)) }
  }

  /// Whether a disk was lost that no other one has made up for yet: another one must not be lost then.
  get isDiskMissing (): boolean {
    return this.storageTurns.isDiskMissing
  }

  private readonly changes: readonly (() => Promise<void>)[] = [
    () => this.changeStorage(),
    () => this.changeStorage(),
    () => this.changeStorage()
  ]

  async run (isOver: () => boolean): Promise<void> {
    const { hasTrouble, changesStorage, hasFaultyInstances } = this.options
    const { losesPower = false, cutsLinks = false, disturbsDisks = false, changesWorkers = false } = this.options
    const actions = [
      ...this.plannedWork.actions,
      ...hasTrouble ? this.faults.actions : [],
      ...changesStorage ? this.changes : [],
      ...hasFaultyInstances ? [() => this.faults.failInstance()] : [],
      ...losesPower ? this.powerFaults.actions : [],
      ...cutsLinks ? this.networkFaults.actions : [],
      ...disturbsDisks ? this.machineFaults.actions : [],
      ...changesWorkers ? this.workerChanges.actions : []
    ]
    while (!isOver()) {
      this.start(this.random.pick(actions))
      await sleep(this.random.between(minIntervalMs, maxIntervalMs))
    }
  }

  /// Resolves when all disturbances are over, or when the time is.
  async settle (): Promise<void> {
    const isOver = sleep(maxSettleMs).then(() => true)
    while (this.pending.size > 0 && await Promise.race([isOver, Promise.all(this.pending)]) !== true);
  }

  /// Starts a change among the storage machines as soon as none is under way, or when the time is over.
  async startStorageChange (timeoutMs: number): Promise<void> {
    await this.storageTurns.waitUntilFree(timeoutMs)
    const isRetired = this.random.next() < retirementShare
    this.start(() => isRetired ? this.retireStorage() : this.changeStorage())
  }

  private start (action: () => Promise<void>): void {
    const running = action().finally(() => this.pending.delete(running))
    this.pending.add(running)
  }

  private async changeStorage (): Promise<void> {
    await this.storageTurns.disturb(storage => this.storageChanges.play(storage))
  }

  private async retireStorage (): Promise<void> {
    await this.storageTurns.disturb(storage => this.storageChanges.retire(storage))
  }
}
