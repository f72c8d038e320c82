import type { Member, View } from '#connection/rpc'
import {
  MemberState, canEvict, canLeave, hasCopied, isForming, requiredCopySources, withCopied, withLeaving, withMember,
  withServing, withSynced, withoutLeaving
} from './view.js'
import type { AbsentMember } from './view.js'

/// The latest complete pass over a peer's records, of which this instance has copied what it lacked.
export interface CompletedPass {
  /// The peer's disk.
  readonly diskId: string
  /// Version of the peer's view when the pass started.
  readonly viewVersion: number
  /// Whether the peer held what it must when the pass started, as far as this instance knew. One that doesn't may lack
  /// records that it has copied by the time it serves.
  readonly wasComplete: boolean
}

/// What a storage instance knows when it decides on a change of the view.
export interface Standpoint {
  readonly own: Pick<Member, 'name' | 'diskId' | 'address' | 'zone'>
  readonly toleratedLosses: number
  /// Version of the first view in which this instance has seen its disk.
  readonly listedVersion: number
  /// Version of the first view in which this instance has seen its disk in its current state.
  readonly stateVersion: number
  /// Whether the disk was new in the first start of the system, and has got no records since.
  readonly isFirstStart: boolean
  readonly retiredNames: Pick<ReadonlySet<string>, 'has'>
  /// Passes over the members of the view, by disk id.
  readonly passes: ReadonlyMap<string, CompletedPass>
  /// Disks that were reached a short time ago, this instance's own among them.
  readonly presentDiskIds: ReadonlySet<string>
  /// The same over a longer time, so that who marked this instance as leaving has missed the others for long, too, and
  /// a short absence of many isn't taken for their loss.
  readonly lastingDiskIds: ReadonlySet<string>
  /// Whether this instance may take back that it leaves. If it does so again and again, the others see what it doesn't.
  readonly mayTakeBack: boolean
  readonly absent: readonly AbsentMember[]
}

/// The next change of the view that this instance should write, or the view itself if none is due.
export function computeNextView (view: View, standpoint: Standpoint): View {
  const { own, toleratedLosses, isFirstStart, retiredNames } = standpoint
  const servesAtOnce = isFirstStart && isForming(view, toleratedLosses)
  const withOwnDisk = withMember(view, own, servesAtOnce)
  const isListed = view.members.some(({ name }) => name === own.name)
  if (withOwnDisk !== view) return isListed || !retiredNames.has(own.name) ? withOwnDisk : view
  const ownMember = view.members.find(member => member.diskId === own.diskId)
  const isJoining = ownMember?.state === MemberState.joining
  if (isJoining && holdsAllBefore(view, standpoint.listedVersion, standpoint)) return withCopied(view, own.diskId)
  const isAdmitted = ownMember?.state === MemberState.admitted
  if (isAdmitted && isKnownToRead(view, standpoint)) return withServing(view, own.diskId)
  const isLeaving = ownMember?.state === MemberState.leaving
  if (isLeaving && isNeededAgain(view, standpoint)) return withoutLeaving(view, own.diskId)
  const leavingName = findMemberToRemove(view, standpoint)
  if (leavingName !== null) return withLeaving(view, leavingName)
  const isBehind = ownMember?.state === MemberState.serving && ownMember.syncedView < view.leaveVersion
  const hasSynced = isBehind && holdsAllBefore(view, view.leaveVersion, standpoint)
  return hasSynced ? withSynced(view, own.diskId, view.leaveVersion, toleratedLosses) : view
}

/// Whether this disk holds every record that was committed before the members adopted `viewVersion`. Of the members
/// that hold what they must, this one included, so many have been copied since then that they can't all lack one.
function holdsAllBefore (view: View, viewVersion: number, { own, passes, toleratedLosses }: Standpoint): boolean {
  const sources = view.members.filter(member => {
    const pass = passes.get(member.diskId)
    const hasBeenCopied = pass !== undefined && pass.wasComplete && pass.viewVersion >= viewVersion
    return hasCopied(member) && (hasBeenCopied || member.diskId === own.diskId)
  })
  return sources.length >= requiredCopySources(view, toleratedLosses)
}

/// Whether too few others are left for this member, which leaves, to do so. One that reaches nobody may itself be the
/// one that is cut off.
function isNeededAgain (view: View, { own, lastingDiskIds, mayTakeBack, toleratedLosses }: Standpoint): boolean {
  return mayTakeBack && lastingDiskIds.size > 1 && !canLeave(view, own.name, lastingDiskIds, toleratedLosses)
}

/// Whether each absence quorum of an older view has one that knows that this member is read.
/// Members that are gone don't reply, but one must have: a member that reaches nobody may be cut off. No more are taken
/// for gone than may be lost: if more are missed, or lately, they may come back without knowing of it, with an entry
/// that doesn't either.
function isKnownToRead (view: View, standpoint: Standpoint): boolean {
  const { own, passes, stateVersion, lastingDiskIds, toleratedLosses } = standpoint
  const others = view.members.filter(member => hasCopied(member) && member.diskId !== own.diskId)
  const knowing = others.filter(({ diskId }) => (passes.get(diskId)?.viewVersion ?? -1) >= stateVersion)
  const present = others.filter(({ diskId }) => lastingDiskIds.has(diskId))
  const lowestLeft = Math.max(others.length - toleratedLosses, Math.min(1, others.length))
  const required = Math.min(toleratedLosses + 1, Math.max(present.length, lowestLeft))
  return knowing.length >= required
}

/// The name of a member that should leave: one that is retired, or one that is unreachable and not needed. At most
/// one member leaves at a time.
function findMemberToRemove (view: View, standpoint: Standpoint): string | null {
  const { toleratedLosses, retiredNames, presentDiskIds, absent } = standpoint
  if (view.members.some(member => member.state === MemberState.leaving)) return null
  const isRetiring = (name: string): boolean => {
    return retiredNames.has(name) && canLeave(view, name, presentDiskIds, toleratedLosses)
  }
  const retired = view.members.find(({ name }) => isRetiring(name))
  if (retired !== undefined) return retired.name
  const evictable = absent.find(member => canEvict(view, member, presentDiskIds, toleratedLosses))
  return view.members.find(({ diskId }) => diskId === evictable?.diskId)?.name ?? null
}
