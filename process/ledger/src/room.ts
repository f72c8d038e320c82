import { Room } from '#connection/rpc'

/// How much a storage instance may hold; each is Infinity without a limit.
export interface LedgerLimits {
  /// Of the disk, with records that have expired and are still on it.
  readonly diskBytes: number
  /// Of the memory for the index of the records.
  readonly indexBytes: number
  /// Of the memory for records that are not on the disk yet.
  readonly unwrittenBytes: number
}

/// What a storage instance holds; the fields are those of its limits.
export type LedgerUsage = LedgerLimits

export const noLimits: LedgerLimits = { diskBytes: Infinity, indexBytes: Infinity, unwrittenBytes: Infinity }

/// Used shares from which on first turns, and then all turns, are refused. What is left is for turns under way.
const continuingShare = 0.85
const noneShare = 0.93
/// No record with contents is taken beyond this. The rest is for settlements, and for compaction.
const fullShare = 0.97

/// Returns the largest share of a limit that is used.
export function getUsedShare (usage: LedgerUsage, limits: LedgerLimits): number {
  return Math.max(
    usage.diskBytes / limits.diskBytes,
    usage.indexBytes / limits.indexBytes,
    usage.unwrittenBytes / limits.unwrittenBytes
  )
}

export function getRoom (usedShare: number): Room {
  if (usedShare >= noneShare) return Room.none
  return usedShare >= continuingShare ? Room.continuing : Room.all
}

/// Whether a record with contents must not be taken.
export function isFull (usedShare: number): boolean {
  return usedShare >= fullShare
}
