import { MessageError, RequestRejectedError } from '#connection/rpc'
import type { LedgerPeer, Member, View } from '#connection/rpc'
import type { Ledger } from '#process/ledger'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'
import { MemberState, emptyView, hasCopied } from '#process/membership'
import type { AbsentMember, CompletedPass } from '#process/membership'
import { PeerCopier } from './copier.js'

export interface StoragePeersOptions {
  /// This instance's name.
  readonly name: string
  readonly connect: (address: string) => LedgerPeer
  /// Called with the version of the view of a peer that has replied.
  readonly onPeerView: (version: number) => void
}

/// Delay between two copy passes over a peer, unless this member is catching up.
const steadyCopyDelayMs = 2000
/// Delay between two copy passes over a peer while this member is catching up.
const catchUpCopyDelayMs = 100
/// A peer that could not be reached for this long may be evicted.
const evictionTimeoutMs = 4500
/// A peer that could not be reached for this long is given up, also if no other one has joined.
const abandonTimeoutMs = 15_000
/// A peer that was last reached within this time counts as present.
const presenceTimeoutMs = 4000
/// Interval at which an instance that stands by probes the members.
const standbyProbeDelayMs = 500
/// An instance that stands by joins once a member has not been reached for this long.
export const standbyTimeoutMs = 1500
/// Contacts are due more often than that, unless the process was paused.
const pauseThresholdMs = 1000

interface PeerState {
  readonly member: Member
  readonly peer: LedgerPeer
  readonly copier: PeerCopier
  lastPass: CompletedPass | null
  /// When it was last reached, or listed if it has not been reached since.
  lastContactMs: number
  reachedAtMs: number
  /// When it was first found unreachable since it was last reached.
  missedSinceMs: number
  isReachable: boolean
  isCopying: boolean
  nextCopyMs: number
}

/// The other members of the view: whether they can be reached, and which of their records have been copied. An instance
/// that stands by only probes them.
export class StoragePeers {
  /// Version of the first view in which this instance's disk was listed; it may have been listed before.
  listedVersion = 0
  /// Version of the first view in which it was listed in its current state.
  stateVersion = 0
  private view: View = emptyView
  private contactedAtMs = performance.now()
  private readonly peers = new Map<string, PeerState>()
  /// When this instance first saw each member in the view, by name.
  private readonly listedAtMs = new Map<string, number>()

  constructor (
    private readonly options: StoragePeersOptions,
    private readonly ledger: Ledger,
    private readonly log: EventLog
  ) {}

  /// `isFirstRead` if it is the first view that this process has read from the platform's store: its members may have
  /// joined before the start, also if the view that the process began with lacks them.
  update (view: View, isFirstRead = false): void {
    this.recordOwnState(view)
    this.view = view
    this.recordListing(isFirstRead ? -Infinity : performance.now())
    const others = view.members.filter(member => member.diskId !== this.ledger.diskId)
    for (const [diskId, state] of this.peers) {
      if (others.some(member => member.diskId === diskId && member.address === state.member.address)) continue
      state.peer.close()
      this.peers.delete(diskId)
    }
    for (const member of others) if (!this.peers.has(member.diskId)) this.add(member)
    if (this.isCatchingUp()) for (const state of this.peers.values()) state.nextCopyMs = 0
  }

  /// Starts the copy passes or probes that are due.
  contactWhenDue (nowMs: number): void {
    this.forgivePause(nowMs)
    for (const state of this.peers.values()) {
      if (state.isCopying || nowMs < state.nextCopyMs) continue
      state.isCopying = true
      if (this.isListed) this.copy(state)
      else this.probe(state)
    }
  }

  /// The latest complete passes over the members of the view, by disk id.
  get passes (): ReadonlyMap<string, CompletedPass> {
    const passes = [...this.peers].flatMap(([diskId, { lastPass }]) => {
      return lastPass?.diskId === diskId ? [[diskId, lastPass] as const] : []
    })
    return new Map(passes)
  }

  /// The members that could not be reached for so long that they may be evicted. Each that counts as present must have
  /// been reached since they were missed: else this instance may itself be the one that is cut off.
  findAbsent (nowMs: number): AbsentMember[] {
    const present = [...this.peers.values()].filter(state => isPresent(state, nowMs, presenceTimeoutMs))
    const hasReachedPresentSince = (timeMs: number): boolean => present.every(state => state.reachedAtMs > timeMs)
    return [...this.peers]
      .filter(([, { lastContactMs }]) => nowMs - lastContactMs >= evictionTimeoutMs)
      .filter(([, { missedSinceMs }]) => hasReachedPresentSince(missedSinceMs))
      .map(([diskId, { lastContactMs }]) => {
        // One that joined before the next contact was due may have joined beside it.
        const hasSuccessor = this.hasJoinedSince(lastContactMs + steadyCopyDelayMs)
        return { diskId, isReplaced: hasSuccessor || nowMs - lastContactMs >= abandonTimeoutMs }
      })
  }

  /// The disks that are present, this instance's own among them.
  getPresentDiskIds (nowMs: number, timeoutMs = presenceTimeoutMs): ReadonlySet<string> {
    const presentPeers = [...this.peers.values()].filter(state => isPresent(state, nowMs, timeoutMs))
    return new Set([this.ledger.diskId, ...presentPeers.map(state => state.member.diskId)])
  }

  close (): void {
    for (const state of this.peers.values()) state.peer.close()
  }

  /// Whether the view has a member of this name, with this disk or an earlier one.
  get isListed (): boolean {
    return this.view.members.some(member => member.name === this.options.name)
  }

  /// Whether a member that serves has been listed since then.
  private hasJoinedSince (timeMs: number): boolean {
    return this.view.members.some(({ name, state }) => {
      return state === MemberState.serving && this.listedAtMs.get(name)! > timeMs
    })
  }

  private recordOwnState (view: View): void {
    const previous = this.findOwnMember(this.view)
    const own = this.findOwnMember(view)
    if (previous === undefined) this.listedVersion = view.version
    if (previous?.state !== own?.state) this.stateVersion = view.version
  }

  private findOwnMember (view: View): Member | undefined {
    return view.members.find(member => member.diskId === this.ledger.diskId)
  }

  private recordListing (listedAtMs: number): void {
    const names = this.view.members.map(member => member.name)
    for (const name of this.listedAtMs.keys()) if (!names.includes(name)) this.listedAtMs.delete(name)
    for (const name of names) if (!this.listedAtMs.has(name)) this.listedAtMs.set(name, listedAtMs)
  }

  /// The time in which this process was paused does not count as silence of the others.
  private forgivePause (nowMs: number): void {
    const elapsedMs = nowMs - this.contactedAtMs
    this.contactedAtMs = nowMs
    if (elapsedMs < pauseThresholdMs) return
    for (const state of this.peers.values()) state.lastContactMs += elapsedMs
  }

  private add (member: Member): void {
    const peer = this.options.connect(member.address)
    this.peers.set(member.diskId, {
      member,
      peer,
      copier: new PeerCopier(peer, this.ledger),
      lastPass: null,
      lastContactMs: performance.now(),
      reachedAtMs: -Infinity,
      missedSinceMs: 0,
      isReachable: true,
      isCopying: false,
      nextCopyMs: 0
    })
  }

  private copy (state: PeerState): void {
    const wasComplete = this.isComplete(state.member.diskId)
    state.copier.runPass(this.view.version).then(({ pass, copied }) => {
      state.lastPass = { ...pass, wasComplete }
      this.recordContact(state, pass.viewVersion)
      if (copied > 0) {
        this.log.event(Events.copyCompleted, {
          from: state.member.name,
          copied,
          viewVersion: pass.viewVersion
        })
      }
    }, (error: unknown) => {
      this.log.event(Events.copyFailed, { from: state.member.name, error: formatError(error) })
      this.recordFailure(state, error)
    }).finally(() => {
      state.isCopying = false
      state.nextCopyMs = performance.now() + (this.isCatchingUp() ? catchUpCopyDelayMs : steadyCopyDelayMs)
    })
  }

  /// Whether a member holds what it must. Its state in `PeerState` may be an earlier one.
  private isComplete (diskId: string): boolean {
    return this.view.members.some(member => member.diskId === diskId && hasCopied(member))
  }

  /// Only shows whether the member is present.
  private probe (state: PeerState): void {
    const request = { viewVersion: this.view.version, cursor: 0, limit: 0, epoch: '' }
    state.peer.digest(request, standbyTimeoutMs).then(
      ({ standing }) => this.recordContact(state, standing?.viewVersion ?? 0),
      (error: unknown) => this.recordFailure(state, error)
    ).finally(() => {
      state.isCopying = false
      state.nextCopyMs = performance.now() + standbyProbeDelayMs
    })
  }

  /// Whether this member may lack records that it needs to serve, or that only a leaving member holds.
  private isCatchingUp (): boolean {
    const ownMember = this.findOwnMember(this.view)
    return ownMember?.state !== MemberState.serving || ownMember.syncedView < this.view.leaveVersion
  }

  private recordContact (state: PeerState, viewVersion: number): void {
    this.options.onPeerView(viewVersion)
    this.recordReachable(state)
  }

  /// A peer that replies with an error is there, and one that couldn't be sent a request may be.
  private recordFailure (state: PeerState, error: unknown): void {
    if (error instanceof RequestRejectedError || error instanceof MessageError) this.recordReachable(state)
    else this.recordUnreachable(state)
  }

  private recordReachable (state: PeerState): void {
    if (!state.isReachable) this.log.event(Events.memberRegained, { member: state.member.name })
    state.isReachable = true
    state.lastContactMs = state.reachedAtMs = performance.now()
  }

  private recordUnreachable (state: PeerState): void {
    if (!state.isReachable) return
    this.log.event(Events.memberLost, { member: state.member.name })
    state.isReachable = false
    state.missedSinceMs = performance.now()
    // Whether the others are still there is known before this one may be evicted.
    for (const other of this.peers.values()) other.nextCopyMs = 0
  }
}

function isPresent ({ lastContactMs }: PeerState, nowMs: number, timeoutMs: number): boolean {
  return nowMs - lastContactMs < timeoutMs
}
