import type { SystemNode } from '#standin/system'
import type { Disturbance, Observations } from './observations.js'

/// Notes what disturbs the system, when it begins.
export class DisturbanceLog {
  constructor (private readonly observations: Observations) {}

  /// `entry` is the process that it concerns, null for all. One whose end isn't known yet lasts for `Infinity`.
  /// `storage` is the storage machine that it is at, if it lets its process end.
  add (
    kind: Disturbance['kind'], entry: SystemNode | null, durationMs: number, text: string, storage?: SystemNode
  ): Disturbance {
    const startMs = performance.now()
    const endMs = startMs + durationMs
    const disturbance = { kind, entry, startMs, endMs, text: `${text} at ${Math.round(startMs)} ms`, ...storage === undefined ? {} : { storage } }
    this.observations.disturbances.push(disturbance)
    return disturbance
  }
}
