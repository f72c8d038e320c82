import { Refusal, RefusedError, Verdict } from '#request/call'
import type { Workspace } from '#version/configuration'
import { callAfterReading } from '#process/clock'
import type { EventLog } from '#process/log'
import { Events, formatError } from '#process/log'
import type { Metrics } from '#process/metrics'
import { tryCount, tryMs } from './contact.js'
import type { PeerContact, SendMessage } from './contact.js'
import type { QuotaCoordinator } from './coordinator.js'
import { FallbackShare } from './fallbackshare.js'
import type { Members } from './members.js'
import { MessageKind, ReplyStatus } from './messages.js'
import type { AskMessage, ReplyMessage } from './messages.js'
import type { Member } from './ranking.js'
import { countTolerated } from './tolerance.js'
import type { QuotaTolerance } from './tolerance.js'
import { WorkspaceCredit } from './workspacecredit.js'
import type { AcquireOptions, Credit } from './workspacecredit.js'

export interface ClientOptions {
  /// The id of this process, unique among all.
  readonly client: string
  readonly members: Members
  readonly contact: PeerContact
  readonly coordinator: QuotaCoordinator
  readonly send: SendMessage
  readonly tolerance: QuotaTolerance
}

/// A request to a coordinator that has no reply yet.
interface PendingAsk {
  readonly onReply: (reply: ReplyMessage) => void
}

/// How long a coordinator that has said that a reply follows has for it.
const pendingMs = 600
/// How many entries are asked for one request, at most.
const maxTargets = 3
/// Replies to requests that were given up are still accepted for their credit.
const maxGivenUp = 200
/// Leaves room for further numbers below the largest safe integer.
const maxFirstNumber = 1e9
/// What `Retry-After` says if the quota's state is not known, and if this entry reaches no other one.
const unknownRetryMs = 200
const cutOffRetryMs = 500
/// The state of workspaces without calls for so long is dropped.
const forgetMs = 10_000
const sweepIntervalMs = 5000

/// Obtains credit for this entry's calls from the coordinators of their workspaces.
export class QuotaClient {
  private readonly workspaces = new Map<string, WorkspaceCredit>()
  private readonly fallbacks = new Map<string, FallbackShare>()
  private readonly pending = new Map<number, PendingAsk>()
  /// Workspaces of requests that were given up, by number.
  private readonly givenUp = new Map<number, string>()
  /// Replies to the process before this one must not be taken for its own.
  private lastNumber = Math.floor(Math.random() * maxFirstNumber)
  private sweptAtMs = performance.now()

  constructor (
    private readonly options: ClientOptions, private readonly log: EventLog, private readonly metrics: Metrics
  ) {}

  get count (): number {
    return this.workspaces.size
  }

  /// Resolves when the call may be served. Rejects with `RefusedError`, with the verdict that it did not run: as over
  /// the quota, or because its state is not known.
  acquire (workspace: Workspace, options: AcquireOptions): Promise<Credit> {
    const { contact } = this.options
    this.sweep()
    if (contact.isCutOff) {
      contact.retryContact()
      return new Promise((resolve, reject) => {
        const credit = this.workspaces.get(workspace.name)?.takeHeld() ?? this.spendFallback(workspace)
        if (credit === null) reject(this.createUnknownError(workspace, 'this entry reaches no other one', cutOffRetryMs))
        else resolve(credit)
      })
    }
    return this.getCredit(workspace).acquire(options)
  }

  /// Must be called with each reply for this process.
  handleReply (reply: ReplyMessage): void {
    const pending = this.pending.get(reply.number)
    if (pending !== undefined) return pending.onReply(reply)
    const workspace = this.givenUp.get(reply.number)
    if (workspace === undefined || reply.status === ReplyStatus.pending) return
    this.givenUp.delete(reply.number)
    const count = reply.continuing + reply.starting + reply.spare
    if (count > 0) this.workspaces.get(workspace)?.addLate(count, reply.bucket)
  }

  /// Unspent credit of workspaces whose limit has become lower is dropped.
  applyConfiguration (find: (name: string) => Workspace | null): void {
    for (const [name, credit] of this.workspaces) {
      const workspace = find(name)
      if (workspace?.quota !== undefined && workspace.quota !== null) {
        credit.setWorkspace(workspace)
        continue
      }
      credit.close()
      if (credit.isUnused(performance.now(), 0)) this.workspaces.delete(name)
    }
  }

  stop (): void {
    for (const credit of this.workspaces.values()) credit.stop()
  }

  private getCredit (workspace: Workspace): WorkspaceCredit {
    let credit = this.workspaces.get(workspace.name)
    if (credit === undefined) {
      credit = new WorkspaceCredit(workspace, demand => this.requestCredit(demand), this.metrics)
      this.workspaces.set(workspace.name, credit)
    }
    return credit
  }

  /// Sends one request, to one entry after the other until one replies.
  private requestCredit (credit: WorkspaceCredit): void {
    const { name } = credit.workspace
    this.exchange(credit).catch((error: unknown) => {
      this.log.event(Events.unexpectedError, { where: `asking for credit of ${name}`, error: formatError(error) })
      credit.fail(() => this.createUnknownError(credit.workspace, 'an internal error', unknownRetryMs))
    })
  }

  private async exchange (credit: WorkspaceCredit): Promise<void> {
    const { members, contact } = this.options
    const { workspace } = credit
    const startedAtMs = performance.now()
    if (members.others === null) {
      return credit.fail(() => this.createUnknownError(workspace, 'the entries have not been listed yet', unknownRetryMs))
    }
    const failed = new Set<string>()
    for (let tries = 0; tries < maxTargets; tries++) {
      const target = this.chooseTarget(workspace.name, failed)
      if (target === null) break
      const reply = await this.ask(credit, target)
      if (reply?.status === ReplyStatus.granted) return credit.receive(reply)
      if (reply?.status === ReplyStatus.unknown) {
        return credit.fail(() => this.createUnknownError(workspace, `the configuration of ${reply.sender} lacks it`, unknownRetryMs))
      }
      // After `moved` the same entry may be asked again: it reaches one that comes before it and may forward then.
      if (reply?.status !== ReplyStatus.moved) failed.add(target.name)
      if (contact.isCutOff || !(members.isAlone || contact.hasHeardSince(startedAtMs) || await contact.reachesAny())) {
        return credit.fail(
          () => this.createUnknownError(workspace, 'this entry reaches no other one', cutOffRetryMs),
          () => this.spendFallback(workspace)
        )
      }
    }
    credit.fail(() => this.createUnknownError(workspace, 'no coordinator replies', unknownRetryMs))
  }

  /// Returns the first entry by rank that replies as far as is known.
  private chooseTarget (workspace: string, failed: ReadonlySet<string>): Member | null {
    const { members, contact } = this.options
    const candidates = members.rank(workspace).filter(({ name }) => !failed.has(name))
    return candidates.find(member => !contact.isAvoided(member)) ?? candidates[0] ?? null
  }

  /// Resolves to null if the entry doesn't reply in time.
  private ask (credit: WorkspaceCredit, target: Member): Promise<ReplyMessage | null> {
    const { members, contact, coordinator, send, client } = this.options
    const number = ++this.lastNumber
    const ask: AskMessage = {
      kind: MessageKind.ask,
      sender: members.own.name,
      client,
      number,
      workspace: credit.workspace.name,
      ...credit.createDemand(),
      replyTo: ''
    }
    const isOwn = target.name === members.own.name
    return new Promise(resolve => {
      let timer: ReturnType<typeof setTimeout> | undefined
      const finish = (reply: ReplyMessage | null): void => {
        if (!this.pending.delete(number)) return
        clearTimeout(timer)
        if (reply === null) this.giveUp(number, credit.workspace.name)
        if (reply === null && !isOwn) contact.recordFailure(target.name)
        resolve(reply)
      }
      const wait = (timeoutMs: number, onTimeout: () => void): void => {
        clearTimeout(timer)
        const started = timer = setTimeout(() => {
          callAfterReading(() => { if (timer === started) onTimeout() })
        }, timeoutMs)
      }
      const startTry = (triesLeft: number): void => {
        if (!this.pending.has(number)) return
        if (triesLeft === 0) return finish(null)
        send(ask, target.address)
        wait(tryMs, () => startTry(triesLeft - 1))
      }
      const startedAtMs = performance.now()
      const onReply = (reply: ReplyMessage): void => {
        if (reply.status !== ReplyStatus.pending) return finish(reply)
        const remainingMs = startedAtMs + pendingMs - performance.now()
        if (isOwn || remainingMs <= 0) wait(Math.max(0, remainingMs), () => finish(null))
        // The reply that follows may be lost, too.
        else wait(tryMs, () => startTry(tryCount))
      }
      this.pending.set(number, { onReply })
      if (isOwn) coordinator.handleAsk(ask, onReply)
      else startTry(tryCount)
    })
  }

  private giveUp (number: number, workspace: string): void {
    this.givenUp.set(number, workspace)
    if (this.givenUp.size > maxGivenUp) this.givenUp.delete(this.givenUp.keys().next().value!)
  }

  /// Returns null if the entry's share of the tolerance is spent.
  private spendFallback (workspace: Workspace): Credit | null {
    const { members, tolerance } = this.options
    if (workspace.quota === null) return null
    let share = this.fallbacks.get(workspace.name)
    if (share === undefined) this.fallbacks.set(workspace.name, share = new FallbackShare(tolerance.windowMs))
    const entryCount = (members.others?.length ?? 0) + 1
    if (!share.spend(countTolerated(workspace.quota, tolerance) / entryCount, performance.now())) return null
    this.metrics.increment('quota_fallback_total')
    let isOpen = true
    return {
      spend: () => { isOpen = false },
      giveBack: () => {
        if (isOpen) share.giveBack()
        isOpen = false
      }
    }
  }

  private createUnknownError ({ name, quota }: Workspace, reason: string, retryAfterMs: number): RefusedError {
    this.metrics.increment('quota_unknown_total')
    const message = `whether workspace ${name} is over its quota of ${quota?.ratePerS} requests/s is not known: ${reason}`
    return new RefusedError(Refusal.quotaUnknown, Verdict.notRun, message, retryAfterMs)
  }

  /// Forgets what is not in use.
  private sweep (): void {
    const nowMs = performance.now()
    if (nowMs - this.sweptAtMs < sweepIntervalMs) return
    this.sweptAtMs = nowMs
    for (const [name, credit] of this.workspaces) if (credit.isUnused(nowMs, forgetMs)) this.workspaces.delete(name)
    for (const [name, share] of this.fallbacks) if (share.isUnused(nowMs)) this.fallbacks.delete(name)
  }
}
