import { sleep } from '#process/clock'
import type { StandinSystem } from '#standin/system'
import { AddressReuse } from './addressreuse.js'
import { playBurst } from './burst.js'
import type { DisturbanceContext } from './disturbancecontext.js'
import { DisturbanceLog } from './disturbancelog.js'
import { Faults } from './faults.js'
import { Freezes } from './freezes.js'
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

/// The groups of disturbances that a run may have besides planned work.
export const DisturbanceGroup = {
  /// Processes are killed or frozen, and the store fails.
  trouble: 'trouble',
  /// Storage machines are added, replaced and retired.
  changes: 'changes',
  /// Instances break off, lose answers or refuse.
  faulty: 'faulty',
  /// Machines lose power, also at the end. This one and the next two need machines of the stand-in.
  power: 'power',
  /// Links between machines, and of single machines to the store, are cut, slow or go silent.
  cuts: 'cuts',
  /// Disks are slow or full, and clocks step.
  disks: 'disks',
  /// Instances come and go, answer early or send more than their answers.
  workers: 'workers',
  /// Addresses of instances that are gone are used again by instances of another service.
  reuse: 'reuse',
  /// Processes are stopped for so long that others take them for lost, and go on.
  freezes: 'freezes',
  /// Many callers come at once.
  bursts: 'bursts'
} as const

export type DisturbanceGroup = typeof DisturbanceGroup[keyof typeof DisturbanceGroup]

export interface DisturberOptions extends Partial<Pick<DisturbanceContext, 'onAddInstance' | 'createCaller'>> {
  readonly graceMs: number
  readonly groups: readonly DisturbanceGroup[]
}

type Action = () => Promise<void>

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
  private readonly plannedWork: PlannedWork
  private readonly storageChanges: StorageChanges
  private readonly actions: Readonly<Record<DisturbanceGroup, readonly Action[]>>

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
    const machines = new Machines()
    supervisor.onLaunch = node => machines.restore(node)
    const { graceMs, onAddInstance = () => {}, createCaller = () => ({ run: async () => {} }) } = options
    const context: DisturbanceContext = {
      system, supervisor, machines, storageTurns, observations, log, random, graceMs, onAddInstance, createCaller
    }
    this.plannedWork = new PlannedWork(context)
    this.storageChanges = new StorageChanges(system, supervisor, random.fork(), {
      add: text => { log.add('signal', null, 0, text) },
      addLoss: text => {
        const loss = log.add('unplanned', null, Infinity, text)
        storageTurns.isDiskMissing = true
        return () => { loss.endMs = performance.now() }
      }
    })
    const faults = new Faults(context)
    const changeStorage = (): Promise<void> => this.changeStorage()
    const burst = (): Promise<void> => playBurst(context)
    this.actions = {
      trouble: faults.actions,
      changes: [changeStorage, changeStorage, changeStorage],
      faulty: [() => faults.failInstance()],
      power: new PowerFaults(context).actions,
      cuts: new NetworkFaults(context).actions,
      disks: new MachineFaults(context).actions,
      workers: new WorkerChanges(context).actions,
      reuse: new AddressReuse(context).actions,
      freezes: new Freezes(context).actions,
      bursts: [burst, burst]
    }
    supervisor.onStart = node => { this.start(() => this.plannedWork.signalStarting(node)) }
  }

  /// Whether a disk was lost that no other one has made up for yet: another one must not be lost then.
  get isDiskMissing (): boolean {
    return this.storageTurns.isDiskMissing
  }

  async run (isOver: () => boolean): Promise<void> {
    const groups = Object.values(DisturbanceGroup).filter(group => this.options.groups.includes(group))
    const actions = [...this.plannedWork.actions, ...groups.flatMap(group => this.actions[group])]
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
