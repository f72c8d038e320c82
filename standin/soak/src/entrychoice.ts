import type { StandinSystem, SystemNode } from '#standin/system'
import type { Random } from './random.js'
import type { Supervisor } from './supervisor.js'

const maxStopsAtOnce = 2

/// Chooses an entry that may be ended; null if enough of them are down.
export function chooseEntry ({ entries }: StandinSystem, supervisor: Supervisor, random: Random): SystemNode | null {
  const free = entries.filter(entry => supervisor.isSteady(entry))
  return entries.length - free.length >= maxStopsAtOnce ? null : random.pick(free)
}
