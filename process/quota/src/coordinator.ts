import type { Quota, Workspaces } from '#version/configuration'
import { Events } from '#process/log'
import type { EventLog } from '#process/log'
import type { Metrics } from '#process/metrics'
import { createCoordinatedWorkspace, deduct, forgetActingMs, isForgettable } from './coordinatedworkspace.js'
import type { CoordinatedWorkspace, HeldBucket, LastRequest, QueuedRequest, Respond } from './coordinatedworkspace.js'
import { maxUnheardMs } from './contact.js'
import type { PeerContact, SendMessage } from './contact.js'
import type { Members } from './members.js'
import { MessageKind, ReplyStatus } from './messages.js'
import type { AskMessage, CheckMessage, ReplyMessage, StateMessage, TakeMessage } from './messages.js'
import { isBefore } from './ranking.js'
import type { Member } from './ranking.js'
import { TokenBucket } from './tokenbucket.js'

export interface CoordinatorOptions {
  /// The id of this process, unique among all.
  readonly client: string
  readonly members: Members
  readonly contact: PeerContact
  readonly send: SendMessage
  /// The workspaces of the configuration in force; null without workspaces.
  readonly getWorkspaces: () => Workspaces | null
}

type VerificationResult = 'held' | 'moved' | 'cut-off'

interface HoldOptions {
  readonly isActing: boolean
  /// From when on a new bucket accrues credit.
  readonly filledFromMs: number
  readonly keepsOwn: boolean
  /// Of the list of entries.
  readonly version: number
}

/// How many entries of the next ranks are asked whether they hold the bucket.
const takenFromCount = 2
/// How often a coordinator that acts in place of another one checks whether it is back.
const recheckMs = 200
/// How long requests are forwarded to an entry that comes before this one until it is checked again.
const forwardMs = 200
const sweepIntervalMs = 5000
/// How long the reply to a client's last request is kept for retries.
const forgetClientMs = 5000

/// Grants credit of the workspaces that this entry coordinates. Before the first grant, and after each gap in which
/// others may have taken over, it checks that no entry that comes before is reached, and takes the bucket from one that
/// has acted in its place.
export class QuotaCoordinator {
  private readonly workspaces = new Map<string, CoordinatedWorkspace>()
  /// When workspaces that had a bucket here lost their quota, by name.
  private readonly endedAtMs = new Map<string, number>()
  private bucketCount = 0
  private sweptAtMs = performance.now()

  constructor (
    private readonly options: CoordinatorOptions, private readonly log: EventLog, private readonly metrics: Metrics
  ) {}

  get count (): number {
    return this.workspaces.size
  }

  /// Applies the quotas of the configuration in force: levels are cut to lower capacities, and workspaces that are gone
  /// or have no limit any more are forgotten.
  applyConfiguration (): void {
    const nowMs = performance.now()
    for (const [name, { held, queue }] of this.workspaces) {
      const quota = this.findQuota(name)
      if (quota !== null) held?.bucket.setQuota(quota, nowMs)
      else if (queue.length === 0) this.forgetEnded(name, held, nowMs)
    }
  }

  /// A workspace that is added again must not have its burst once more.
  private forgetEnded (name: string, held: HeldBucket | null, nowMs: number): void {
    if (held !== null) this.endedAtMs.set(name, nowMs)
    this.workspaces.delete(name)
  }

  /// Handles a request of an entry, which may be this one. `respond` may be called twice, with the status `pending`
  /// first.
  handleAsk (ask: AskMessage, respond: Respond): void {
    this.sweep()
    const workspace = this.options.getWorkspaces()?.get(ask.workspace) ?? null
    if (workspace === null) return respond(this.createReply(ask, ReplyStatus.unknown))
    if (workspace.quota === null) {
      const { continuing, starting, spare } = ask
      return respond({ ...this.createReply(ask, ReplyStatus.granted), continuing, starting, spare })
    }
    const state = this.getState(workspace.name)
    const last = state.lastRequests.get(ask.client)
    if (last !== undefined && ask.number < last.number) return
    if (last?.number === ask.number) return this.repeatReply(state, ask, last, respond)
    state.lastRequests.set(ask.client, { number: ask.number, reply: null, atMs: performance.now() })
    if (this.isHeld(state)) {
      respond(this.grant(state, state.held!, ask))
      if (state.held!.isActing && performance.now() - state.verifiedAtMs > recheckMs) this.startVerification(state)
    } else if (state.superior !== null && state.superiorUntilMs > performance.now()) {
      this.passOn(state, { ask, respond }, state.superior)
    } else {
      state.queue.push({ ask, respond })
      respond(this.createReply(ask, ReplyStatus.pending))
      this.startVerification(state)
    }
  }

  /// Answers an entry that comes after this one and acts in its place; `message.granted` grows with each check.
  handleCheck (message: CheckMessage, address: string): void {
    const { workspace, bucket, granted, number } = message
    const state = this.workspaces.get(workspace)
    const held = state?.held ?? null
    if (state !== undefined && held !== null && bucket !== '') deduct(state, held, bucket, granted)
    this.options.send(this.createState(number), address)
  }

  /// Hands the bucket over to an entry that comes before this one.
  handleTake ({ sender, client, number, workspace }: TakeMessage, address: string): void {
    const state = this.workspaces.get(workspace)
    const { handedOver = null } = state ?? {}
    const { members, send } = this.options
    if (handedOver?.client === client && handedOver.number === number) return send(handedOver.state, address)
    let reply = this.createState(number)
    const isNeeded = state !== undefined || !members.isListed(sender)
    if (isNeeded && this.findQuota(workspace) !== null && isBefore(workspace, sender, members.own.name)) {
      const state = this.getState(workspace)
      const { held } = state
      if (held !== null) {
        const level = held.bucket.getLevel(performance.now())
        reply = { ...reply, bucket: held.id, level, granted: held.granted }
      }
      state.handedOver = { client, number, state: reply }
      state.taker = { name: sender, address }
      this.release(state, state.taker)
    }
    send(reply, address)
  }

  private grant (state: CoordinatedWorkspace, held: HeldBucket, ask: AskMessage): ReplyMessage {
    const nowMs = performance.now()
    state.usedAtMs = nowMs
    if (ask.returned > 0 && ask.bucket === held.id) {
      held.bucket.giveBack(ask.returned, nowMs)
      held.granted -= ask.returned
    }
    const grant = held.bucket.grant(ask, nowMs)
    held.granted += grant.continuing + grant.starting + grant.spare
    const level = Math.round(held.bucket.getLevel(nowMs) * 100) / 100
    const reply = { ...this.createReply(ask, ReplyStatus.granted), ...grant, level, bucket: held.id }
    state.lastRequests.set(ask.client, { number: ask.number, reply, atMs: nowMs })
    return reply
  }

  private repeatReply (
    state: CoordinatedWorkspace, ask: AskMessage, { reply }: LastRequest, respond: Respond
  ): void {
    if (reply !== null) return respond(reply)
    const queued = state.queue.find(request => request.ask.client === ask.client)
    if (queued !== undefined) {
      queued.respond = respond
      respond(this.createReply(ask, ReplyStatus.pending))
    } else if (state.superior !== null) {
      this.passOn(state, { ask, respond }, state.superior)
    }
  }

  /// Whether this entry may grant credit without asking others.
  private isHeld ({ held }: CoordinatedWorkspace): boolean {
    const { members, contact } = this.options
    members.update()
    if (held === null || held.membersVersion !== members.version) return false
    return members.isAlone || (contact.isFresh && held.epoch === contact.epoch)
  }

  private startVerification (state: CoordinatedWorkspace): void {
    if (state.isVerifying) return
    state.isVerifying = true
    this.verify(state).then(result => {
      state.isVerifying = false
      state.verifiedAtMs = performance.now()
      this.serveQueue(state, result)
    }, (error: unknown) => {
      state.isVerifying = false
      this.log.event(Events.unexpectedError, { where: 'coordinating a quota', error: String(error) })
      this.serveQueue(state, 'cut-off')
    })
  }

  /// Asks the entries that come before whether they are reached, and those that come next for the bucket.
  private async verify (state: CoordinatedWorkspace): Promise<VerificationResult> {
    const { members, contact, client } = this.options
    members.update()
    const { version, isAlone } = members
    const { held, releases } = state
    if (isAlone) {
      return this.hold(state, { isActing: false, filledFromMs: members.undividedSinceMs, keepsOwn: true, version }, [])
    }
    if (members.others === null) return 'cut-off'
    const startedAtMs = performance.now()
    const { superiors, inferiors } = this.findRivals(state)
    const [checks, takes] = await Promise.all([
      Promise.all(superiors.map(member => contact.check(member, state.name, held?.id ?? '', held?.granted ?? 0))),
      Promise.all(inferiors.map(member => contact.take(member, state.name, client)))
    ])
    const reached = superiors.find((_, i) => checks[i] !== null)
    if (reached !== undefined) {
      this.release(state, reached)
      return 'moved'
    }
    if (!contact.isFresh && !await contact.reachesAny()) return 'cut-off'
    if (state.releases !== releases) return 'moved'
    const isActing = superiors.length > 0
    const states = takes.filter(take => take !== null)
    const isKnown = states.length > 0 || inferiors.length === 0
    const filledFromMs = isActing || !isKnown ? startedAtMs + maxUnheardMs : members.undividedSinceMs
    return this.hold(state, { isActing, filledFromMs, keepsOwn: isKnown, version }, states)
  }

  /// The entries that come before this one, and those that may act in its place.
  private findRivals (state: CoordinatedWorkspace): { superiors: Member[], inferiors: Member[] } {
    const { members, contact } = this.options
    const ranked = members.rankWithDeparted(state.name)
    const index = ranked.findIndex(({ name }) => name === members.own.name)
    const superiors = index < 0 ? ranked : ranked.slice(0, index)
    const { taker } = state
    if (taker !== null && !superiors.some(({ name }) => name === taker.name)) superiors.push(taker)
    // Nobody has taken over from an entry that others can't have taken for lost.
    const inferiors = index < 0 || this.isHeld(state) ? [] : ranked.slice(index + 1)
    return { superiors, inferiors: inferiors.filter(member => !contact.isAvoided(member)).slice(0, takenFromCount) }
  }

  /// Makes this entry hold the bucket: its own if no other entry can have granted credit unnoticed, or a new one. A
  /// bucket that was taken over counts as far as it has more credit.
  private hold (
    state: CoordinatedWorkspace,
    { isActing, filledFromMs, keepsOwn, version }: HoldOptions,
    states: readonly StateMessage[]
  ): VerificationResult {
    const nowMs = performance.now()
    const quota = this.findQuota(state.name)
    if (quota === null) return 'cut-off'
    const own = keepsOwn ? state.held : null
    const emptyAtMs = Math.max(filledFromMs, this.endedAtMs.get(state.name) ?? -Infinity)
    const takenOver = states.filter(({ bucket }) => bucket !== '')
    const held = own ?? this.createBucket(state, quota, takenOver.length > 0 ? nowMs : emptyAtMs, isActing)
    for (const { bucket, granted } of takenOver) {
      if (own === null) state.deducted.set(bucket, granted)
      else deduct(state, own, bucket, granted)
    }
    if (takenOver.length > 0) held.bucket.raiseTo(Math.min(...takenOver.map(({ level }) => level)), nowMs)
    held.isActing = isActing
    held.epoch = this.options.contact.epoch
    held.membersVersion = version
    state.held = held
    state.superior = state.taker = null
    return 'held'
  }

  private createBucket (
    state: CoordinatedWorkspace, quota: Quota, filledFromMs: number, isActing: boolean
  ): HeldBucket {
    const { client } = this.options
    const id = `${client}/${++this.bucketCount}`
    this.metrics.increment('quota_coordinator_changes_total')
    if (isActing) this.log.event(Events.quotaCoordinated, { workspace: state.name, isActing, bucket: id })
    return { id, bucket: new TokenBucket(quota, filledFromMs), granted: 0, isActing, epoch: 0, membersVersion: 0 }
  }

  /// Drops the bucket, as another entry coordinates the workspace, and forwards requests to that one for a while.
  private release (state: CoordinatedWorkspace, superior: Member): void {
    if (state.held !== null) {
      const { id, granted } = state.held
      this.metrics.increment('quota_coordinator_changes_total')
      this.log.event(Events.quotaReleased, { workspace: state.name, bucket: id, granted, to: superior.name })
    }
    state.held = null
    state.releases++
    state.superior = superior
    state.superiorUntilMs = performance.now() + forwardMs
    state.usedAtMs = performance.now()
  }

  private serveQueue (state: CoordinatedWorkspace, result: VerificationResult): void {
    const queue = state.queue.splice(0)
    for (const request of queue) {
      const { ask, respond } = request
      if (result === 'held' && state.held !== null) respond(this.grant(state, state.held, ask))
      else if (state.superior !== null && result !== 'cut-off') this.passOn(state, request, state.superior)
      else respond(this.createReply(ask, ReplyStatus.cutOff))
    }
  }

  /// Forwards a request of another entry, which may not reach the coordinator itself; it is forwarded once only.
  private passOn (state: CoordinatedWorkspace, { ask, respond }: QueuedRequest, superior: Member): void {
    const { members, client, send } = this.options
    const { own, others } = members
    state.usedAtMs = performance.now()
    const moved = this.createReply(ask, ReplyStatus.moved)
    if (ask.client === client) {
      if (members.isListed(superior.name)) return respond(moved)
      respond(this.createReply(ask, ReplyStatus.pending))
      return send(ask, superior.address)
    }
    const origin = others?.find(({ name }) => name === ask.sender)
    if (ask.replyTo !== '' || origin === undefined) return respond(moved)
    send({ ...ask, sender: own.name, replyTo: origin.address }, superior.address)
  }

  private getState (name: string): CoordinatedWorkspace {
    let state = this.workspaces.get(name)
    if (state === undefined) {
      state = createCoordinatedWorkspace(name)
      this.workspaces.set(name, state)
    }
    return state
  }

  private findQuota (name: string): Quota | null {
    return this.options.getWorkspaces()?.get(name)?.quota ?? null
  }

  /// Forgets what is not in use.
  private sweep (): void {
    const nowMs = performance.now()
    if (nowMs - this.sweptAtMs < sweepIntervalMs) return
    this.sweptAtMs = nowMs
    for (const [name, state] of this.workspaces) {
      for (const [client, { atMs }] of state.lastRequests) {
        if (nowMs - atMs > forgetClientMs) state.lastRequests.delete(client)
      }
      if (isForgettable(state, nowMs)) this.workspaces.delete(name)
    }
    for (const [name, timeMs] of this.endedAtMs) if (nowMs - timeMs > forgetActingMs) this.endedAtMs.delete(name)
  }

  private createReply (ask: AskMessage, status: ReplyStatus): ReplyMessage {
    return {
      kind: MessageKind.reply,
      sender: this.options.members.own.name,
      number: ask.number,
      status,
      continuing: 0,
      starting: 0,
      spare: 0,
      continuingDueMs: 0,
      startingDueMs: 0,
      level: 0,
      bucket: '',
      replyTo: ask.replyTo
    }
  }

  private createState (number: number): StateMessage {
    const sender = this.options.members.own.name
    return { kind: MessageKind.state, sender, number, bucket: '', level: 0, granted: 0 }
  }
}
