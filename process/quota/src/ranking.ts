import { unitHash } from '#version/configuration'

/// An entry that may coordinate quotas.
export interface Member {
  readonly name: string
  /// HOST:PORT.
  readonly address: string
}

/// Whether `a` coordinates the workspace rather than `b`. It depends on names alone, so entries agree on it whatever
/// else they know of one another.
export function isBefore (workspace: string, a: string, b: string): boolean {
  const difference = computePosition(workspace, a) - computePosition(workspace, b)
  return difference < 0 || (difference === 0 && a < b)
}

/// Returns the members by their rank as coordinators of the workspace (rendezvous hashing).
export function rankMembers (workspace: string, members: readonly Member[]): Member[] {
  const positioned = members.map(member => ({ member, position: computePosition(workspace, member.name) }))
  positioned.sort((a, b) => a.position - b.position || (a.member.name < b.member.name ? -1 : 1))
  return positioned.map(({ member }) => member)
}

function computePosition (workspace: string, name: string): number {
  return unitHash(`quota/${workspace}/${name}`)
}
