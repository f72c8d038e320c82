import { unitHash } from '#version/configuration'

/// A limit that the entries share.
export interface SharedLimit {
  readonly instanceId: string
  /// Requests per second of all entries together.
  readonly limitPerS: number
}

/// An entry that has a share of limits.
export interface Sharer {
  readonly name: string
  /// How many processors it has, or which share of one: entries with more serve more calls.
  readonly processors: number
}

/// With smaller shares, requests that are evenly spaced at each entry could meet in one second.
const minSharePerS = 0.75
/// Of a limit that is too small for all entries, the share of those that only find out whether it still holds.
const probingShare = 0.1
/// An instance that names no requests at all is still asked whether that holds.
const minLimitPerS = 0.1

/// Returns how many requests per second the entry `own` may send to the instance: a share by its processors. If there
/// are more entries than large enough shares, as many as there are have an equal share: those with most processors, and
/// of equal ones some by rendezvous hashing of their names.
export function computeSharePerS (limit: SharedLimit, own: Sharer, others: readonly Sharer[]): number {
  const { instanceId, limitPerS } = limit
  const usablePerS = Math.max(limitPerS, minLimitPerS)
  const entryCount = others.length + 1
  const sharerCount = Math.max(1, Math.floor(usablePerS / minSharePerS))
  if (sharerCount >= entryCount) {
    return usablePerS * own.processors / others.reduce((sum, { processors }) => sum + processors, own.processors)
  }
  const hash = ({ name }: Sharer): number => unitHash(`limit/${instanceId}/${name}`)
  const ownHash = hash(own)
  const isSharer = others.filter(other => {
    return other.processors > own.processors || (other.processors === own.processors && hash(other) < ownHash)
  }).length < sharerCount
  return isSharer
    ? usablePerS * (1 - probingShare) / sharerCount
    : usablePerS * probingShare / (entryCount - sharerCount)
}
