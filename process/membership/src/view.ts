import type { Member, View } from '#connection/rpc'

/// The part that a storage instance takes in the quorums of a view.
export const MemberState = {
  /// Receives appends, but does not hold all committed records yet.
  joining: 'joining',
  /// Holds all committed records, and is read. Its appends do not count yet: an entry that knows an older view would
  /// rule out a record without its reply.
  admitted: 'admitted',
  serving: 'serving',
  /// Being removed: its records are still read, but its appends no longer count towards a quorum.
  leaving: 'leaving'
} as const

export type MemberState = typeof MemberState[keyof typeof MemberState]

/// The name of the object in the platform's store that holds the current view.
export const viewObjectName = 'current'

/// The view before any storage instance has registered.
export const emptyView: View = { version: 0, members: [], leaveVersion: 0 }

/// The members whose replies count in one view, as disk ids, and how many of them are needed.
export interface Quorums {
  /// Members that count towards the append quorum.
  readonly appendVoters: ReadonlySet<string>
  /// Number of append voters that must have persisted a record for it to be committed.
  readonly appendQuorum: number
  /// Members that count towards the absence and account quorums.
  readonly readVoters: ReadonlySet<string>
  /// Number of read voters that must lack a turn to rule out that it was committed.
  readonly absenceQuorum: number
  /// Number of read voters that must report a program's account. Two such sets
  /// overlap, so of two concurrent reservations at least one sees the other.
  readonly accountQuorum: number
}

/// A member that has not been reached for so long that it may be evicted.
export interface AbsentMember {
  readonly diskId: string
  /// Whether another one has joined since it was last reached, or it has been away for so long that it won't return.
  readonly isReplaced: boolean
}

/// Computes the quorums for a number of disks that may be lost at the same time.
/// A record is committed once one more disk than that holds it. The absence
/// quorum is so large that it includes at least one of these disks.
export function computeQuorums (view: View, toleratedLosses: number): Quorums {
  const quorumMembers = view.members.filter(isQuorumMember)
  const appendMembers = quorumMembers.filter(({ state }) => {
    return state !== MemberState.leaving && state !== MemberState.admitted
  })
  const readMembers = quorumMembers.filter(hasCopied)
  const appendQuorum = toleratedLosses + 1
  return {
    appendVoters: diskIds(appendMembers),
    appendQuorum,
    readVoters: diskIds(readMembers),
    absenceQuorum: Math.max(1, quorumMembers.length - toleratedLosses),
    accountQuorum: Math.max(appendQuorum, Math.floor(quorumMembers.length / 2) + 1)
  }
}

/// Members that a system needs to stay available while as many disks as are tolerated are lost. Further storage
/// instances stand by: each member stores every record, so more of them only cost more.
export function computeFullSize (toleratedLosses: number): number {
  return 2 * toleratedLosses + 1
}

/// Whether the first view is still being formed: it has never been full, so no member holds what a new one lacks.
export function isForming (view: View, toleratedLosses: number): boolean {
  return view.leaveVersion === 0 && view.members.length < computeFullSize(toleratedLosses)
}

/// Whether a further storage instance should join: too few members are present, not counting those that leave.
export function needsMember (view: View, presentDiskIds: ReadonlySet<string>, toleratedLosses: number): boolean {
  const staying = view.members.filter(member => {
    return member.state !== MemberState.leaving && presentDiskIds.has(member.diskId)
  })
  return staying.length < computeFullSize(toleratedLosses)
}

/// Number of members, none of them joining, that together hold every committed record, whichever they are. A joining
/// member must have copied so many others; a serving one counts itself.
export function requiredCopySources (view: View, toleratedLosses: number): number {
  return Math.max(1, view.members.filter(isQuorumMember).length - toleratedLosses)
}

/// Whether a member holds what it must: it neither joins, nor leaves before it has copied.
export function hasCopied ({ state, replacement }: Member): boolean {
  return state !== MemberState.joining && !replacement
}

/// A joining member takes part in quorums only as the replacement of a lost disk.
function isQuorumMember (member: Member): boolean {
  return member.state !== MemberState.joining || member.replacement
}

function diskIds (members: readonly Member[]): ReadonlySet<string> {
  return new Set(members.map(member => member.diskId))
}

/// Adds a storage instance, or replaces its disk or address. A new disk starts as joining, except for a new member with
/// `servesAtOnce`. Like the other `with` functions, returns the view itself if nothing changes.
export function withMember (
  view: View, joined: Omit<Member, 'state' | 'replacement' | 'syncedView'>, servesAtOnce: boolean
): View {
  const existing = view.members.find(member => member.name === joined.name)
  if (existing !== undefined && existing.diskId === joined.diskId) {
    if (existing.address === joined.address) return view
    return replaceMember(view, { ...existing, address: joined.address })
  }
  const wasQuorumMember = existing !== undefined && isQuorumMember(existing)
  const state = servesAtOnce && existing === undefined ? MemberState.serving : MemberState.joining
  const member: Member = { ...joined, state, replacement: wasQuorumMember, syncedView: 0 }
  return { ...view, version: view.version + 1, members: [...view.members.filter(other => other !== existing), member] }
}

/// Marks a joining member that holds all committed records as serving, or as admitted if it replaces no lost disk.
export function withCopied (view: View, diskId: string): View {
  const member = view.members.find(other => other.diskId === diskId)
  if (member === undefined || member.state !== MemberState.joining) return view
  const state = member.replacement ? MemberState.serving : MemberState.admitted
  return replaceMember(view, { ...member, state, replacement: false })
}

/// Marks an admitted member as serving, once enough others know that it is read.
export function withServing (view: View, diskId: string): View {
  const member = view.members.find(other => other.diskId === diskId)
  if (member === undefined || member.state !== MemberState.admitted) return view
  return replaceMember(view, { ...member, state: MemberState.serving })
}

/// Marks a member as leaving. One that is joining and replaces no lost disk is removed at once.
export function withLeaving (view: View, name: string): View {
  const member = view.members.find(other => other.name === name)
  if (member === undefined || member.state === MemberState.leaving) return view
  if (member.state === MemberState.joining && !member.replacement) return withoutMember(view, name)
  const updated = replaceMember(view, { ...member, state: MemberState.leaving })
  return { ...updated, leaveVersion: updated.version }
}

/// Takes back that a member leaves. It may not have served before: it is admitted, or joining if it replaces a lost
/// disk and has not copied.
export function withoutLeaving (view: View, diskId: string): View {
  const member = view.members.find(other => other.diskId === diskId)
  if (member === undefined || member.state !== MemberState.leaving) return view
  const state = member.replacement ? MemberState.joining : MemberState.admitted
  return replaceMember(view, { ...member, state })
}

/// Sets the `syncedView` of a member that holds every record from before that view version. Removes the leaving members
/// once so many serving ones have synced at `leaveVersion` or later that each record is on an append quorum of them.
export function withSynced (view: View, diskId: string, syncedView: number, toleratedLosses: number): View {
  const member = view.members.find(other => other.diskId === diskId)
  if (member === undefined || member.syncedView >= syncedView) return view
  const updated = replaceMember(view, { ...member, syncedView })
  const synced = updated.members.filter(other => {
    return other.state === MemberState.serving && other.syncedView >= updated.leaveVersion
  })
  if (synced.length < toleratedLosses + 1) return updated
  const members = updated.members.filter(other => other.state !== MemberState.leaving)
  return { ...updated, members }
}

/// Whether enough serving members for an append quorum are present without `name`.
export function canLeave (
  view: View,
  name: string,
  presentDiskIds: ReadonlySet<string>,
  toleratedLosses: number
): boolean {
  const remaining = view.members.filter(member => {
    return member.state === MemberState.serving && member.name !== name && presentDiskIds.has(member.diskId)
  })
  return remaining.length >= toleratedLosses + 1
}

/// Whether enough serving members are present without an absent one: enough for a full system, or for an append quorum
/// if it `isReplaced`.
export function canEvict (
  view: View,
  { diskId, isReplaced }: AbsentMember,
  presentDiskIds: ReadonlySet<string>,
  toleratedLosses: number
): boolean {
  const remaining = view.members.filter(member => {
    return member.state === MemberState.serving && member.diskId !== diskId && presentDiskIds.has(member.diskId)
  })
  return remaining.length >= (isReplaced ? toleratedLosses + 1 : computeFullSize(toleratedLosses))
}

function withoutMember (view: View, name: string): View {
  return { ...view, version: view.version + 1, members: view.members.filter(member => member.name !== name) }
}

function replaceMember (view: View, member: Member): View {
  const members = view.members.map(other => other.name === member.name ? member : other)
  return { ...view, version: view.version + 1, members }
}
