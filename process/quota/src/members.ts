import { rankMembers } from './ranking.js'
import type { Member } from './ranking.js'

/// The entries that are listed.
export interface EntryList {
  readonly own: Member
  /// Null until they have been listed; another array after each change.
  readonly others: readonly Member[] | null
}

/// More entries than this are never asked for one workspace.
const maxRanks = 8
/// An entry that is listed no more may run for a while.
const departedMs = 5000
/// Entries that start together don't see one another in their first listings.
const aloneDelayMs = 2000

/// The listed entries, and what their changes mean for coordinators.
export class Members {
  /// Increases with each change.
  version = 0
  private seen: readonly Member[] | null = null
  private byName = new Map<string, Member>()
  /// By name, with the time until which the entry may still run.
  private readonly departed = new Map<string, { readonly member: Member, readonly untilMs: number }>()
  private readonly startedAtMs = performance.now()
  private listedAtMs = Infinity
  private removedAtMs = -Infinity

  constructor (private readonly list: EntryList) {}

  get own (): Member {
    return this.list.own
  }

  /// Null until they have been listed.
  get others (): readonly Member[] | null {
    this.update()
    return this.seen
  }

  /// Brings the list up to date. Must be called before `version` is read.
  update (): void {
    const { others } = this.list
    if (others === this.seen) return
    const isFirst = this.seen === null
    this.seen = others
    const byName = new Map((others ?? []).map(member => [member.name, member]))
    if (isFirst) this.listedAtMs = performance.now()
    if (!isFirst && hasSameMembers(byName, this.byName)) return
    this.recordRemoved(byName)
    this.byName = byName
    this.version++
  }

  /// The entries by their rank as coordinators of the workspace, with this one.
  rank (workspace: string): Member[] {
    return rankMembers(workspace, [this.own, ...this.others ?? []], maxRanks)
  }

  /// The same with those that were listed until lately.
  rankWithDeparted (workspace: string): Member[] {
    const nowMs = performance.now()
    const members = [this.own, ...this.others ?? []]
    for (const [name, { member, untilMs }] of this.departed) {
      if (untilMs < nowMs) this.departed.delete(name)
      else members.push(member)
    }
    return rankMembers(workspace, members, maxRanks)
  }

  isListed (name: string): boolean {
    this.update()
    return this.byName.has(name)
  }

  get isAlone (): boolean {
    return this.others?.length === 0
  }

  /// Since when no other entry can have granted credit of a workspace for which this one comes first, if no other entry
  /// holds its bucket.
  get undividedSinceMs (): number {
    const sinceMs = Math.max(this.startedAtMs, this.removedAtMs)
    return this.isAlone ? Math.max(sinceMs, this.listedAtMs + aloneDelayMs) : sinceMs
  }

  private recordRemoved (byName: ReadonlyMap<string, Member>): void {
    const nowMs = performance.now()
    for (const [name, member] of this.byName) {
      if (byName.has(name)) continue
      this.removedAtMs = nowMs
      this.departed.set(name, { member, untilMs: nowMs + departedMs })
    }
    for (const name of byName.keys()) this.departed.delete(name)
  }
}

function hasSameMembers (a: ReadonlyMap<string, Member>, b: ReadonlyMap<string, Member>): boolean {
  return a.size === b.size && [...a].every(([name, { address }]) => b.get(name)?.address === address)
}
