import type { Instance } from '#process/instances'

/// A call is overdue once it has taken so many times as long as its kind usually does at the instance.
const minOverdue = 2
/// No larger factor is concluded from a single call.
const maxFactor = 8

/// The factor by which work takes longer at the instance, from its learned speed and from calls of this process in
/// flight there that are overdue: what an instance that has become slow shows before they end.
export function findSpeedFactor ({ inFlight, model, speed }: Instance, nowMs: number): number {
  const learned = speed.getFactor(nowMs)
  let longest = 0
  for (const { kind, startedAtMs } of inFlight) {
    longest = Math.max(longest, (nowMs - startedAtMs) / (model.getTypicalMs(kind) ?? Infinity))
  }
  return longest < minOverdue * Math.max(1, learned) ? learned : Math.max(learned, Math.min(longest, maxFactor))
}
