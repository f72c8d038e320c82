import type { StandinSystem } from '#standin/system'
import type { StandinUpstream } from '#standin/upstream'
import type { Caller } from './caller.js'
import type { DisturbanceLog } from './disturbancelog.js'
import type { Machines } from './machines.js'
import type { Observations } from './observations.js'
import type { Random } from './random.js'
import type { StorageTurns } from './storageturns.js'
import type { Supervisor } from './supervisor.js'

/// What a disturbance acts on, and where it is noted.
export interface DisturbanceContext {
  readonly system: StandinSystem
  readonly supervisor: Supervisor
  readonly machines: Machines
  readonly storageTurns: StorageTurns
  readonly observations: Observations
  readonly log: DisturbanceLog
  readonly random: Random
  readonly graceMs: number
  /// Called with each instance that is added.
  readonly onAddInstance: (instance: StandinUpstream) => void
  /// Creates a caller that comes for a while.
  readonly createCaller: (name: string) => Pick<Caller, 'run'>
}
