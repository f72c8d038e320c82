import type { Member, View } from '#connection/rpc'

/// How far a storage member takes part.
export const MemberState = {
  /// Takes records, but does not yet hold all that the others hold.
  joining: 'joining',
  serving: 'serving',
  /// Is about to go: its records are read, and no longer relied on.
  leaving: 'leaving'
} as const

export type MemberState = typeof MemberState[keyof typeof MemberState]

/// The name of the membership's object in the platform's store.
export const viewObjectName = 'current'

/// The membership before any storage instance has registered.
export const emptyView: View = { version: 0, members: [], leaveVersion: 0 }

/// Whose answers count for what, under one view.
export interface Quorums {
  /// Members whose synced append counts.
  readonly writers: ReadonlySet<string>
  /// Synced appends after which a record can't be lost.
  readonly appends: number
  /// Members whose "not known" counts.
  readonly knowers: ReadonlySet<string>
  /// "Not known" answers after which no counted record can have been missed.
  readonly absences: number
  /// Knowers that must tell of a program's account, so that two reservations have met.
  readonly accounts: number
}

/// Works out the quorums for a number of disks that may be lost at the same
/// time. An append counts once one more disk than that holds it; whoever
/// answers for a certain absence must be so many that one of them would have
/// held it.
export function computeQuorums (view: View, toleratedLosses: number): Quorums {
  const slots = view.members.filter(isSlot)
  const writers = slots.filter(member => member.state !== MemberState.leaving)
  const knowers = slots.filter(member => member.state !== MemberState.joining)
  const appends = toleratedLosses + 1
  return {
    writers: diskIds(writers),
    appends,
    knowers: diskIds(knowers),
    absences: Math.max(1, slots.length - toleratedLosses),
    accounts: Math.max(appends, Math.floor(slots.length / 2) + 1)
  }
}

/// How many other complete members a joining one must copy, so that it holds
/// every counted record.
export function requiredCopySources (view: View, toleratedLosses: number): number {
  return Math.max(1, view.members.filter(isSlot).length - toleratedLosses)
}

/// A joining member stands in a quorum only in the place of a lost disk.
function isSlot (member: Member): boolean {
  return member.state !== MemberState.joining || member.replacement
}

function diskIds (members: readonly Member[]): ReadonlySet<string> {
  return new Set(members.map(member => member.diskId))
}

/// Adds a storage instance, or puts its new disk or address in the place of its old one.
export function withMember (view: View, joined: Omit<Member, 'state' | 'replacement' | 'syncedView'>, isFirstStart: boolean): View {
  const before = view.members.find(member => member.name === joined.name)
  if (before !== undefined && before.diskId === joined.diskId) {
    if (before.address === joined.address) return view
    return replaceMember(view, { ...before, address: joined.address })
  }
  const wasSlot = before !== undefined && isSlot(before)
  const state = isFirstStart && before === undefined ? MemberState.serving : MemberState.joining
  const member: Member = { ...joined, state, replacement: wasSlot, syncedView: 0 }
  return { ...view, version: view.version + 1, members: [...view.members.filter(other => other !== before), member] }
}

/// Marks a joining member as complete.
export function withServing (view: View, diskId: string): View {
  const member = view.members.find(other => other.diskId === diskId)
  if (member === undefined || member.state !== MemberState.joining) return view
  return replaceMember(view, { ...member, state: MemberState.serving, replacement: false })
}

/// Marks a member as leaving.
export function withLeaving (view: View, name: string): View {
  const member = view.members.find(other => other.name === name)
  if (member === undefined || member.state === MemberState.leaving) return view
  if (member.state === MemberState.joining && !member.replacement) return without(view, name)
  const next = replaceMember(view, { ...member, state: MemberState.leaving })
  return { ...next, leaveVersion: next.version }
}

/// Notes that a member holds all that its peers held under `syncedView`, and
/// drops the leaving members once every other one has said so.
export function withSynced (view: View, diskId: string, syncedView: number): View {
  const member = view.members.find(other => other.diskId === diskId)
  if (member === undefined || member.syncedView >= syncedView) return view
  const next = replaceMember(view, { ...member, syncedView })
  const serving = next.members.filter(other => other.state === MemberState.serving)
  const isReady = serving.every(other => other.syncedView >= next.leaveVersion)
  if (!isReady) return next
  const members = next.members.filter(other => other.state !== MemberState.leaving)
  return { ...next, members }
}

/// Whether all but `name` would still hold the view's promises.
export function canLeave (view: View, name: string, toleratedLosses: number): boolean {
  const rest = view.members.filter(member => member.state === MemberState.serving && member.name !== name)
  return rest.length >= toleratedLosses + 1
}

/// Whether the present members without one are as many as a system at its full strength needs.
export function canEvict (
  view: View,
  diskId: string,
  present: ReadonlySet<string>,
  toleratedLosses: number
): boolean {
  const rest = view.members.filter(member => {
    return member.state === MemberState.serving && member.diskId !== diskId && present.has(member.diskId)
  })
  return rest.length >= 2 * toleratedLosses + 1
}

function without (view: View, name: string): View {
  return { ...view, version: view.version + 1, members: view.members.filter(member => member.name !== name) }
}

function replaceMember (view: View, member: Member): View {
  const members = view.members.map(other => other.name === member.name ? member : other)
  return { ...view, version: view.version + 1, members }
}
