import { DecayingCount } from './decayingcount.js'

/// What a workspace asks for, compared with the others.
export const Standing = {
  /// No workspace asks for much more than its share, or there are no workspaces.
  equal: 'equal',
  /// It asks for much more than its share.
  above: 'above',
  /// Another workspace does.
  within: 'within'
} as const

export type Standing = typeof Standing[keyof typeof Standing]

interface Account {
  readonly usualDemand: DecayingCount
  readonly recentDemand: DecayingCount
  readonly service: DecayingCount
  demandedAtMs: number
}

/// A workspace's service and weight at one time.
interface Share {
  readonly received: number
  readonly allReceived: number
  /// Of the weights of all workspaces.
  readonly weightShare: number
}

/// Time constants: of the demand that counts as usual, of the demand of the moment, and of the service received.
const usualWindowMs = 60_000
const recentWindowMs = 2000
const serviceWindowMs = 3000
/// A workspace that asks for more than usual has at least this share of what it asks for as its weight, so that it is
/// served at least a quarter as often as the others.
const minDemandShare = 1 / 4
/// Demand beyond this multiple of the usual doesn't become usual.
const maxGrowth = 1.25
/// Weight of a workspace that seldom calls.
const minWeightPerS = 0.05
/// So many calls never exceed a share: a small workspace's calls come in small groups by chance.
const freeCalls = 2
/// Bounds the level; beyond 32 times the fair share all are equal.
const maxLevel = 6
/// A workspace is above its share if its demand has grown by this factor more than that of the others.
const demandTolerance = 2
/// For how long the others count as within their share after that.
const excessMemoryMs = 1000
const maxAccounts = 8192
/// Of what a workspace asked for and received so long ago, less than a hundredth still counts.
const accountLifeMs = 5 * usualWindowMs

/// Accounts of what workspaces ask for and receive. A workspace's fair share is proportional to its usual demand, so
/// a large one has a larger share, and one that sends many times its usual load hasn't. Without workspaces all
/// results are neutral.
export class FairShares {
  /// In the order of their last demand.
  private readonly accounts = new Map<string | null, Account>()
  private readonly total = createAccount()
  private startedAtMs = 0
  private excessAtMs = -Infinity
  /// Computed for `sharesAtMs`: a queue asks for each of its calls.
  private readonly shares = new Map<string | null, Share>()
  private sharesAtMs = -Infinity

  /// Whether any call has counted for a workspace. Nothing is recorded before.
  get isActive (): boolean {
    return this.accounts.size > 0
  }

  /// How many workspaces have an account.
  get accountCount (): number {
    return this.accounts.size
  }

  /// Records that a call asks for service.
  recordDemand (workspace: string | null, nowMs: number): void {
    if (!this.isActive) {
      if (workspace === null) return
      this.startedAtMs = nowMs - 1
    }
    this.shares.clear()
    const account = this.accounts.get(workspace) ?? createAccount()
    this.accounts.delete(workspace)
    this.accounts.set(workspace, account)
    account.demandedAtMs = nowMs
    this.dropAccounts(nowMs)
    account.recentDemand.add(nowMs)
    this.total.recentDemand.add(nowMs)
    const usual = this.computeUsualPart(account, nowMs)
    account.usualDemand.add(nowMs, usual)
    this.total.usualDemand.add(nowMs, usual)
    if (this.isAbove(account, nowMs)) this.excessAtMs = nowMs
  }

  /// Records that a call receives service.
  recordService (workspace: string | null, nowMs: number): void {
    const account = this.accounts.get(workspace)
    if (account === undefined) return
    this.shares.clear()
    for (const { service } of [account, this.total]) service.add(nowMs)
  }

  /// By how much a call of the workspace would exceed its fair share of the service if `ownAhead` of its own calls and
  /// `allAhead` calls of all workspaces were served before: 0 if it wouldn't, and one more for each doubling. The lower
  /// one is served first.
  getLevel (workspace: string | null, ownAhead: number, allAhead: number, nowMs: number): number {
    const share = this.getShare(workspace, nowMs)
    if (share === null) return 0
    const fair = (share.allReceived + allAhead) * share.weightShare
    const excess = (share.received + ownAhead + 1 - freeCalls) / Math.max(fair, 1)
    return excess <= 1 ? 0 : Math.min(1 + Math.floor(Math.log2(excess)), maxLevel)
  }

  /// The workspace's usual demand, or more if it asks for more than that many times over.
  getWeight (workspace: string | null, nowMs: number): number {
    const account = this.accounts.get(workspace)
    if (account === undefined) return minWeightPerS
    return Math.max(
      this.getUsualPerS(account, nowMs),
      account.recentDemand.getRatePerS(nowMs, this.startedAtMs) * minDemandShare,
      minWeightPerS
    )
  }

  /// Whether the workspace asks for much more than its share, or another one did within the last second.
  getStanding (workspace: string | null, nowMs: number): Standing {
    if (nowMs - this.excessAtMs > excessMemoryMs) return Standing.equal
    const account = this.accounts.get(workspace)
    return account !== undefined && this.isAbove(account, nowMs) ? Standing.above : Standing.within
  }

  /// Drops those that are unused, and the least recently used ones beyond the limit.
  private dropAccounts (nowMs: number): void {
    for (const [workspace, { demandedAtMs }] of this.accounts) {
      if (this.accounts.size <= maxAccounts && nowMs - demandedAtMs <= accountLifeMs) return
      this.accounts.delete(workspace)
    }
  }

  private getShare (workspace: string | null, nowMs: number): Share | null {
    if (nowMs !== this.sharesAtMs) this.shares.clear()
    this.sharesAtMs = nowMs
    const known = this.shares.get(workspace)
    if (known !== undefined) return known
    const account = this.accounts.get(workspace)
    if (account === undefined) return null
    const share = this.computeShare(account, this.getWeight(workspace, nowMs), nowMs)
    this.shares.set(workspace, share)
    return share
  }

  private computeShare (account: Account, weight: number, nowMs: number): Share {
    const totalWeight = this.getUsualPerS(this.total, nowMs) - this.getUsualPerS(account, nowMs) + weight
    return {
      received: account.service.get(nowMs),
      allReceived: this.total.service.get(nowMs),
      weightShare: weight / totalWeight
    }
  }

  /// Which part of a call counts as usual demand.
  private computeUsualPart (account: Account, nowMs: number): number {
    const usualPerS = Math.max(this.getUsualPerS(account, nowMs), minWeightPerS)
    const recentPerS = account.recentDemand.getRatePerS(nowMs, this.startedAtMs)
    // Until usual demand is known, all demand is.
    if (nowMs - this.startedAtMs < recentWindowMs) return 1
    return Math.min(1, maxGrowth * usualPerS / recentPerS)
  }

  private isAbove (account: Account, nowMs: number): boolean {
    const { total } = this
    const usualPerS = Math.max(this.getUsualPerS(account, nowMs), minWeightPerS)
    const othersUsualPerS = this.getUsualPerS(total, nowMs) - usualPerS
    const recent = account.recentDemand.get(nowMs)
    const othersRecent = total.recentDemand.get(nowMs) - recent
    // Without demand of others, none of them is pushed out.
    if (othersUsualPerS <= 0 || othersRecent < 1) return false
    return (recent - freeCalls) / usualPerS > demandTolerance * othersRecent / othersUsualPerS
  }

  private getUsualPerS ({ usualDemand }: Account, nowMs: number): number {
    return usualDemand.getRatePerS(nowMs, this.startedAtMs)
  }
}

function createAccount (): Account {
  return {
    usualDemand: new DecayingCount(usualWindowMs),
    recentDemand: new DecayingCount(recentWindowMs),
    service: new DecayingCount(serviceWindowMs),
    demandedAtMs: -Infinity
  }
}
