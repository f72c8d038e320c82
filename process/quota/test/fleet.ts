import { Workspaces } from '#version/configuration'
import type { Quota, Workspace } from '#version/configuration'
import { noopLog } from '#process/log'
import { Metrics } from '#process/metrics'
import { WorkspaceQuotas } from '#process/quota'
import type { QuotaTolerance } from '#process/quota'
import { rankMembers } from '../src/ranking.js'
import type { Member } from '../src/ranking.js'

/// Narrower than that of the settings, so that smaller faults show.
export const tolerance: QuotaTolerance = { windowMs: 2000, overshootShare: 0.05, slackRequests: 1 }
export const workspaceName = 'acme'
const networkMs = 1

/// What became of a call.
export interface CallOutcome {
  readonly atMs: number
  readonly entry: string
  readonly workspace: string
  /// The status of its refusal, 0 if it ran.
  readonly status: number
  readonly retryAfterMs: number
  /// Whether the entry was killed before it answered.
  readonly isLost: boolean
}

export interface CallOptions {
  readonly isContinuing?: boolean
  readonly maxWaitMs?: number
  readonly workspace?: string
  /// The call gives its credit back after a while.
  readonly isRefusedLater?: boolean
}

/// An entry of a simulated fleet.
export interface SimulatedEntry {
  readonly member: Member
  quotas: WorkspaceQuotas
  metrics: Metrics
  others: readonly Member[] | null
  isRunning: boolean
  /// Aborted when its process ends.
  killing: AbortController
  isCutOff: boolean
}

export function createWorkspace (quota: Quota | null, name = workspaceName): Workspace {
  return { name, keys: [], priority: null, quota }
}

/// Entries that exchange datagrams under fake timers, without sockets.
export class Fleet {
  readonly entries: SimulatedEntry[] = []
  readonly outcomes: CallOutcome[] = []
  /// Share of datagrams that are lost.
  lossShare = 0
  datagrams = 0
  private workspaces: Workspaces

  constructor (count: number, workspaces: readonly Workspace[], private readonly draw: () => number = () => 1) {
    this.workspaces = new Workspaces(workspaces)
    for (let i = 0; i < count; i++) this.create()
    this.list()
  }

  /// The entries by their rank as coordinators of the workspace.
  rank (workspace = workspaceName): SimulatedEntry[] {
    const ranked = rankMembers(workspace, this.entries.map(({ member }) => member))
    return ranked.map(({ name }) => this.entries.find(({ member }) => member.name === name)!)
  }

  /// Starts another entry; it is not listed yet.
  create (): SimulatedEntry {
    const index = this.entries.length
    const member = { name: `entry-${index}`, address: `10.0.0.${index}:1` }
    const entry = { member, others: null, isRunning: false, isCutOff: false } as unknown as SimulatedEntry
    this.entries.push(entry)
    this.start(entry)
    return entry
  }

  start (entry: SimulatedEntry): void {
    const list = { own: entry.member, get others () { return entry.others } }
    entry.metrics = new Metrics()
    const send = (fields: object, address: string): void => this.send(entry, fields, address)
    entry.quotas = new WorkspaceQuotas({ entries: list, tolerance, send }, noopLog, entry.metrics)
    entry.quotas.setWorkspaces(this.workspaces)
    entry.isRunning = true
    entry.killing = new AbortController()
  }

  kill (entry: SimulatedEntry): void {
    entry.isRunning = false
    entry.killing.abort()
    entry.quotas.stop()
  }

  /// Lets the entries know of one another.
  list (entries: readonly SimulatedEntry[] = this.entries): void {
    const members = this.entries.map(({ member }) => member)
    for (const entry of entries) entry.others = members.filter(({ name }) => name !== entry.member.name)
  }

  configure (workspaces: readonly Workspace[]): void {
    this.workspaces = new Workspaces(workspaces)
    for (const { quotas } of this.entries) quotas.setWorkspaces(this.workspaces)
  }

  /// Sends a call.
  async call (entry: SimulatedEntry, options: CallOptions = {}): Promise<CallOutcome> {
    const { isContinuing = false, maxWaitMs = 100, workspace = workspaceName, isRefusedLater = false } = options
    const { quotas } = entry
    const outcome = (status: number, retryAfterMs = 0): CallOutcome => {
      const isLost = !entry.isRunning || entry.quotas !== quotas
      return { atMs: performance.now(), entry: entry.member.name, workspace, status, retryAfterMs, isLost }
    }
    try {
      const { signal } = entry.killing
      const credit = await quotas.acquire(this.workspaces.get(workspace)!, { isContinuing, maxWaitMs, signal })
      if (isRefusedLater) setTimeout(() => credit.giveBack(), 50)
      else credit.spend()
      const ran = outcome(0)
      // What a killed process was about to run doesn't run.
      if (!isRefusedLater && !ran.isLost) this.outcomes.push(ran)
      return ran
    } catch (error) {
      const { status, retryAfterMs } = error as { status: number, retryAfterMs: number }
      return outcome(status, retryAfterMs)
    }
  }

  /// The most calls of the workspace that ran in a window beyond what the quota allows for its length.
  countExcess ({ ratePerS, burst }: Quota, workspace = workspaceName, sinceMs = -Infinity): number {
    const ran = this.outcomes.filter(outcome => outcome.workspace === workspace && outcome.atMs >= sinceMs)
    const timesMs = ran.map(({ atMs }) => atMs).sort((a, b) => a - b)
    const allowed = ratePerS * tolerance.windowMs / 1000 + Math.max(1, burst)
    let first = 0
    let most = 0
    timesMs.forEach((timeMs, last) => {
      while (timesMs[first]! <= timeMs - tolerance.windowMs) first++
      most = Math.max(most, last - first + 1)
    })
    return most - allowed
  }

  stop (): void {
    for (const entry of this.entries) this.kill(entry)
  }

  private send (from: SimulatedEntry, fields: object, address: string): void {
    const to = this.entries.find(({ member }) => member.address === address)
    if (!from.isRunning || to === undefined) return
    this.datagrams++
    const isLost = this.draw() < this.lossShare
    const text = JSON.stringify(fields)
    const { quotas } = from
    setTimeout(() => {
      const isUp = to.isRunning && !from.isCutOff && !to.isCutOff && quotas !== null
      if (isUp && !isLost) to.quotas.receive(JSON.parse(text), from.member.address)
    }, networkMs)
  }
}
