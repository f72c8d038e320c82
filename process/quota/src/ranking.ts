import { unitHash } from '#version/configuration'

/// An entry that may coordinate quotas.
export interface Member {
  readonly name: string
  /// HOST:PORT.
  readonly address: string
}

interface Ranked {
  readonly member: Member
  readonly position: number
}

/// Hashes of the names of entries. Each request for credit ranks all entries of the fleet.
const entryHashes = new Map<string, number>()
const maxHashes = 2000

/// Whether `a` coordinates the workspace rather than `b`. It depends on names alone, so entries agree on it whatever
/// else they know of one another.
export function isBefore (workspace: string, a: string, b: string): boolean {
  const workspaceHash = hash(workspace)
  const rank = (name: string): Ranked => {
    return { member: { name, address: '' }, position: computePosition(workspaceHash, name) }
  }
  return isAhead(rank(a), rank(b))
}

/// Returns the first members by their rank as coordinators of the workspace (rendezvous hashing).
export function rankMembers (workspace: string, members: readonly Member[], maxCount = Infinity): Member[] {
  const workspaceHash = hash(workspace)
  const ranked: Ranked[] = []
  for (const member of members) {
    const position = computePosition(workspaceHash, member.name)
    let place = ranked.length
    while (place > 0 && isAhead({ member, position }, ranked[place - 1]!)) place--
    if (place >= maxCount) continue
    ranked.splice(place, 0, { member, position })
    if (ranked.length > maxCount) ranked.pop()
  }
  return ranked.map(({ member }) => member)
}

function isAhead (a: Ranked, b: Ranked): boolean {
  return a.position < b.position || (a.position === b.position && a.member.name < b.member.name)
}

/// Mixes two hashes with the finalizer of MurmurHash3.
function computePosition (workspaceHash: number, name: string): number {
  let mixed = workspaceHash ^ Math.imul(hashEntry(name), 0x9e3779b1)
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

function hashEntry (name: string): number {
  let value = entryHashes.get(name)
  if (value === undefined) {
    value = hash(name)
    if (entryHashes.size >= maxHashes) entryHashes.clear()
    entryHashes.set(name, value)
  }
  return value
}

function hash (text: string): number {
  return unitHash(`quota/${text}`) * 0x100000000 | 0
}
