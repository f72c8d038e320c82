import { PeerError, RequestRejectedError, Room } from '#connection/rpc'
import type { DigestReply, DigestRequest, LedgerPeer, Member, Standing, View, WaitOptions } from '#connection/rpc'
import { ChangeSignal, sleep } from '#process/clock'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'
import { computeQuorums, emptyView, hasCopied } from '#process/membership'
import type { Quorums } from '#process/membership'

export interface LedgerPeersOptions {
  /// The zone of this process; members in it are queried first.
  readonly zone: string
  /// Number of disks that may be lost at the same time without losing a committed record.
  readonly toleratedLosses: number
  readonly connect: (address: string) => LedgerPeer
  /// Called when the view may be out of date, so that the caller reads it from the platform's store again.
  readonly onStaleView: () => void
}

/// A member of the view, and this process's connection to it.
export interface PeerState {
  member: Member
  readonly peer: LedgerPeer
  /// Set by a failed request, cleared by the next reply. A request that times out
  /// while the member replies to others does not count: the member is slow, not down.
  isDown: boolean
  /// When it was lost, on the monotonic clock of `performance.now()`.
  downSinceMs: number
  /// Whether its machine was up at the last failed request, so that its process may be starting.
  isMachineUp: boolean
  /// Whether it has been silent, and is asked whether it is present.
  isAsked: boolean
  /// What it had room for at its latest reply.
  room: Room
  /// From 0 to 1: its place among members that are equally suitable.
  readonly spread: number
}

/// How a request is repeated at a member.
export interface RetryOptions {
  /// On the monotonic clock of `performance.now()`.
  readonly deadlineMs: number
  /// Gives up as soon as the member is down, and too few members are up or starting.
  readonly failsFast: boolean
  /// Nothing is sent once it is aborted.
  readonly signal?: AbortSignal | undefined
}

/// Sends a request to a member, with a timeout in milliseconds.
export type SendToPeer<Reply> = (peer: LedgerPeer, timeoutMs: number, wait: WaitOptions<Reply>) => Promise<Reply>

interface Replied {
  readonly standing?: Standing | undefined
}

/// A request is sent again to a member that replies to nothing for this long.
const silenceTimeoutMs = 400
/// A member that has been silent, and then doesn't reply for this long to what needs no sync of its disk, is down.
const presenceTimeoutMs = 200
/// For the late reply of a member that is slow, not down.
const probeTimeoutMs = 2000
const retryDelayMs = 40
/// Mean interval at which members that are down are probed; the actual ones are spread, as all entries may probe them.
const probeIntervalMs = 200
/// The same while too few members are up, and calls wait for those that are starting.
const startProbeIntervalMs = 100
/// Of an interval, either way.
const probeJitter = 0.5
/// A storage instance that takes longer to start is not waited for.
const maxStartMs = 5000

/// The first reply that arrives for requests that have failed.
class LateReply<Reply> {
  reply: Reply | null = null
  private resolve: ((reply: Reply) => void) | null = null

  /// `onReply` is called for each.
  constructor (private readonly onReply: (reply: Reply) => void) {}

  readonly accept = (reply: Reply): void => {
    this.onReply(reply)
    this.reply ??= reply
    this.resolve?.(reply)
  }

  wait (): Promise<Reply> {
    return new Promise(resolve => { this.resolve = resolve })
  }
}

/// The storage instances of the current view: which of them are up, and in which order requests go to them.
export class LedgerPeers {
  private currentView: View = emptyView
  private currentQuorums: Quorums = computeQuorums(emptyView, 0)
  private peers: PeerState[] = []
  /// The members in the order of preference, `null` if that may have changed.
  private ordered: readonly PeerState[] | null = null
  private probeTimer: ReturnType<typeof setTimeout> | null = null
  private isClosed = false
  /// How many requests wait for the next view.
  private viewWaiters = 0
  private readonly createdAtMs = performance.now()
  /// Of what `isAvailable`, `isViewStale`, `isStarting` and the states of members depend on, but for the time.
  private readonly change = new ChangeSignal()
  /// Called for each new view.
  readonly onView = new Set<() => void>()

  constructor (private readonly options: LedgerPeersOptions, private readonly log: EventLog) {}

  get view (): View {
    return this.currentView
  }

  get quorums (): Quorums {
    return this.currentQuorums
  }

  /// Switches to `view` if it is newer than the current one. Connections to
  /// members whose disk and address are unchanged stay open. `source` is logged.
  adoptView (view: View, source: string): void {
    if (view.version <= this.view.version) return
    this.currentView = view
    this.currentQuorums = computeQuorums(view, this.options.toleratedLosses)
    const previousPeers = this.peers
    this.peers = view.members.map(member => {
      const existing = previousPeers.find(state => isSamePeer(state.member, member))
      if (existing !== undefined) return Object.assign(existing, { member })
      const peer = this.options.connect(member.address)
      peer.open()
      return {
        member,
        peer,
        isDown: false,
        downSinceMs: 0,
        isMachineUp: false,
        isAsked: false,
        room: Room.all,
        spread: Math.random()
      }
    })
    this.ordered = null
    for (const old of previousPeers) if (!this.peers.some(state => state.peer === old.peer)) old.peer.close()
    this.log.event(Events.viewAdopted, { version: view.version, source, members: view.members.length })
    if (!this.isAvailable) this.startProbing()
    this.change.notify()
    for (const listener of [...this.onView]) listener()
  }

  /// Whether enough members seem to be up to commit an append.
  get isAvailable (): boolean {
    return this.hasAppendQuorum(state => !state.isDown)
  }

  /// Whether too few members are up, and enough of the others may be starting. At the start of this process, as long as
  /// it knows no view, the storage may be starting, too.
  get isStarting (): boolean {
    if (this.isAvailable) return false
    const sinceMs = performance.now() - maxStartMs
    if (this.view.version === 0) return this.createdAtMs > sinceMs
    return this.hasAppendQuorum(state => !state.isDown || (state.isMachineUp && state.downSinceMs > sinceMs))
  }

  /// Whether too few members are up or starting.
  get isCutOff (): boolean {
    return !this.isAvailable && !this.isStarting
  }

  /// Whether the machines of enough members are up, also if their processes have been down for long: another entry
  /// couldn't commit an append either.
  get areMachinesUp (): boolean {
    return this.hasAppendQuorum(state => !state.isDown || state.isMachineUp)
  }

  /// What enough members have room for to commit an append; all if too few are up.
  get room (): Room {
    const { appendVoters, appendQuorum } = this.quorums
    const rooms = this.peers
      .filter(({ isDown, member }) => !isDown && appendVoters.has(member.diskId))
      .map(({ room }) => room)
      .sort((a, b) => a - b)
    return rooms[appendQuorum - 1] ?? Room.all
  }

  private hasAppendQuorum (counts: (state: PeerState) => boolean): boolean {
    const { appendVoters, appendQuorum } = this.quorums
    return this.peers.filter(state => appendVoters.has(state.member.diskId) && counts(state)).length >= appendQuorum
  }

  /// Waits while members are starting. Resolves once a request may be sent, to false if it would be in vain.
  async waitForStart (deadlineMs: number): Promise<boolean> {
    while (!this.isAvailable && !this.isViewStale) {
      const remainingMs = deadlineMs - performance.now()
      if (this.isCutOff || remainingMs <= 1) return false
      await this.change.wait(Math.min(remainingMs, probeIntervalMs))
    }
    return true
  }

  /// Whether the view has too few members, none of them down: a reply will carry the newer view.
  get isViewStale (): boolean {
    return this.peers.length > 0 && !this.peers.some(state => state.isDown)
  }

  /// Members in the order in which requests go to them: those that are up first, among these the ones with most room,
  /// then the ones whose replies count in all quorums, then those in this process's zone. The rest is random, to spread
  /// the load.
  getByPreference (): readonly PeerState[] {
    this.ordered ??= this.sortByPreference()
    return this.ordered
  }

  private sortByPreference (): PeerState[] {
    const { appendVoters, readVoters } = this.quorums
    const rank = ({ isDown, room, member: { diskId, zone }, spread }: PeerState): number => {
      const counts = appendVoters.has(diskId) && readVoters.has(diskId)
      return (isDown ? 16 : 0) + room * 4 + (counts ? 0 : 2) + (zone === this.options.zone ? 0 : 1) + spread
    }
    return [...this.peers].sort((a, b) => rank(a) - rank(b))
  }

  /// Waits for a newer view than `version`, if one is due soon as a member still copies and this process isn't cut off.
  /// Resolves to whether there is one.
  async waitForView (version: number, deadlineMs: number): Promise<boolean> {
    this.viewWaiters++
    this.startProbing()
    try {
      while (this.view.version === version) {
        const remainingMs = deadlineMs - performance.now()
        const isInVain = (this.isCutOff && !this.isViewStale) || this.view.members.every(hasCopied)
        if (remainingMs <= 1 || isInVain) return false
        await this.change.wait(Math.min(remainingMs, probeIntervalMs))
      }
      return true
    } finally {
      this.viewWaiters--
    }
  }

  /// Asks one member for the next view until `end` resolves.
  watchForView (end: Promise<void>): void {
    this.viewWaiters++
    this.startProbing()
    end.then(() => { this.viewWaiters-- })
  }

  /// Sends a request to one member, and sends it again while the member is silent, until a reply to any of these comes.
  /// Resolves to null at the deadline, if it fails fast, or if it can't be sent.
  async sendWithRetry<Reply extends Replied> (
    state: PeerState, send: SendToPeer<Reply>, options: RetryOptions
  ): Promise<Reply | null> {
    const { deadlineMs } = options
    const late = new LateReply<Reply>(reply => this.handleStanding(state, reply.standing!))
    const wait = { silenceTimeoutMs, onLateReply: late.accept }
    for (let isRepeated = false; ; isRepeated = true) {
      if (isRepeated) await this.waitForRetry(state, options)
      if (late.reply !== null) return late.reply
      const remainingMs = deadlineMs - performance.now()
      const isAborted = options.signal?.aborted ?? false
      if (isAborted || remainingMs <= 1 || (state.isDown && this.givesUp(options))) return null
      const attempt = this.sendOnce(state, send(state.peer, remainingMs, wait))
      try {
        const reply = await (isRepeated ? Promise.race([attempt, late.wait()]) : attempt)
        if (reply !== null) return reply
      } catch (error) {
        this.recordUnsendable(error)
        return null
      }
    }
  }

  /// A member that is down is probed for all requests that wait for it.
  private async waitForRetry (state: PeerState, options: RetryOptions): Promise<void> {
    await sleep(retryDelayMs)
    while (state.isDown && !this.givesUp(options)) {
      const remainingMs = options.deadlineMs - performance.now()
      if (remainingMs <= 1) return
      await this.change.wait(Math.min(remainingMs, probeIntervalMs))
    }
  }

  private givesUp ({ failsFast, signal }: RetryOptions): boolean {
    return signal?.aborted === true || (failsFast && this.isCutOff)
  }

  /// Resolves to the reply, or to null when the request has failed and may be sent again. Rejects if it can't be sent.
  private async sendOnce<Reply extends Replied> (state: PeerState, request: Promise<Reply>): Promise<Reply | null> {
    try {
      const reply = await request
      this.handleStanding(state, reply.standing!)
      return reply
    } catch (error) {
      if (!(error instanceof PeerError)) throw error
      this.recordFailure(state, error)
      return null
    }
  }

  close (): void {
    this.isClosed = true
    if (this.probeTimer !== null) clearTimeout(this.probeTimer)
    for (const { peer } of this.peers) peer.close()
  }

  /// Marks the member as up, takes note of its room, adopts a newer view from its reply, and reports a stale view if
  /// the reply came from another disk than the member's.
  private handleStanding (state: PeerState, standing: Standing): void {
    const room = (standing.room ?? Room.all) as Room
    if (room !== state.room) {
      state.room = room
      this.ordered = null
    }
    if (state.isDown) {
      state.isDown = false
      this.ordered = null
      this.change.notify()
      this.log.event(Events.memberRegained, { member: state.member.name })
    }
    if (standing.newerView !== undefined) this.adoptView(standing.newerView, state.member.name)
    if (standing.diskId !== state.member.diskId) this.options.onStaleView()
  }

  /// Only what a member does or fails to do says that it is down.
  private recordFailure (state: PeerState, error: PeerError): void {
    if (error instanceof RequestRejectedError) {
      this.log.event(Events.requestRejected, { member: state.member.name, error: formatError(error) })
    } else if (!error.isTimeout) {
      this.recordDown(state, error)
    } else if (error.isUnresponsive) {
      this.askWhetherPresent(state)
    }
  }

  private recordUnsendable (error: unknown): void {
    this.log.event(Events.unexpectedError, { where: 'a request to a storage instance', error: formatError(error) })
  }

  /// A member whose disk is slow may have replied to nothing because all requests wait for it.
  private askWhetherPresent (state: PeerState): void {
    if (state.isAsked || state.isDown) return
    state.isAsked = true
    state.peer.digest(this.createProbe(), presenceTimeoutMs)
      .then(reply => this.handleStanding(state, reply.standing!), error => {
        if (!(error instanceof PeerError)) this.recordUnsendable(error)
        else if (error.isUnresponsive) this.recordDown(state, error)
      })
      .finally(() => { state.isAsked = false })
  }

  private createProbe (): DigestRequest {
    return { viewVersion: this.view.version, cursor: 0, limit: 0, epoch: '' }
  }

  private recordDown (state: PeerState, error: unknown): void {
    if (!state.isDown) {
      this.log.event(Events.memberLost, { member: state.member.name, error: formatError(error) })
      state.downSinceMs = performance.now()
    }
    state.isDown = true
    state.isMachineUp = isMachineUp(error)
    this.ordered = null
    this.change.notify()
    this.options.onStaleView()
    this.startProbing()
  }

  private startProbing (): void {
    if (this.isClosed) return
    const meanMs = this.isStarting || this.viewWaiters > 0 ? startProbeIntervalMs : probeIntervalMs
    const jitter = (Math.random() * 2 - 1) * probeJitter
    this.probeTimer ??= setTimeout(() => this.probe(), meanMs * (1 + jitter))
  }

  /// Probes members that are down, and one that is up while requests wait for
  /// the view in its reply. Reports a stale view while too few members are up.
  /// Is repeated until all are up and no request waits.
  private probe (): void {
    this.probeTimer = null
    const down = this.peers.filter(state => state.isDown)
    if (!this.isAvailable) this.options.onStaleView()
    if (!this.isAvailable || down.length > 0 || this.viewWaiters > 0) this.startProbing()
    const up = this.getByPreference().filter(state => !state.isDown)
    const request = this.createProbe()
    for (const state of this.viewWaiters > 0 ? [...down, ...up.slice(0, 1)] : down) {
      const accept = (reply: DigestReply): void => this.handleStanding(state, reply.standing!)
      state.peer.digest(request, probeTimeoutMs, { silenceTimeoutMs, onLateReply: accept }).then(accept, error => {
        if (state.isDown) state.isMachineUp = isMachineUp(error)
      })
    }
  }
}

function isMachineUp (error: unknown): boolean {
  return error instanceof PeerError && error.isMachineUp
}

function isSamePeer (a: Member, b: Member): boolean {
  return a.diskId === b.diskId && a.address === b.address
}
