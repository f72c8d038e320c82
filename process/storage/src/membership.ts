import type { LedgerPeer, Member, View } from '#connection/rpc'
import { ObjectKind, StoreConflictError, watchObjects, watchObject } from '#connection/store'
import type { ObjectStore, StoredObject } from '#connection/store'
import type { Ledger } from '#process/ledger'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'
import { MemberState, canLeave, requiredCopySources, emptyView, canEvict, parseView, viewObjectName, withServing, withLeaving, withMember, withSynced } from '#process/membership'
import { PeerCopier } from './copier.js'
import type { CopyMark } from './copier.js'

/// What a storage instance is, apart from its state.
export interface MembershipOptions {
  readonly name: string
  readonly address: string
  readonly zone: string
  readonly toleratedLosses: number
  /// The system starts for the first time, and the disk was empty.
  readonly isFirstStart: boolean
  readonly connect: (address: string) => LedgerPeer
}

const viewWaitMs = 5000
const retirementWaitMs = 10_000
const watchPauseMs = 50
const tickMs = 400
const calmCopyPauseMs = 2000
const urgentCopyPauseMs = 100
/// A member that no peer reaches for this long may give way to another one.
const unreachableAfterMs = 5000
/// A peer that answered this recently counts as present.
const presentForMs = 4500
const writeRetryMs = 800

interface PeerState {
  readonly member: Member
  readonly peer: LedgerPeer
  readonly copier: PeerCopier
  mark: CopyMark | null
  lastContactMs: number
  isReachable: boolean
  isCopying: boolean
  nextCopyMs: number
}

/// Takes part in the storage membership: registers this disk, copies what it
/// lacks, and changes the view in the platform's store by conditional writes.
export class MembershipController {
  private view: View = emptyView
  private revision = 0
  private isKnown = false
  private isWriting = false
  private nextWriteMs = 0
  private readonly peers = new Map<string, PeerState>()
  private readonly retirements = new Map<string, { status: unknown }>()
  private readonly stops: (() => void)[] = []
  private ticker: ReturnType<typeof setInterval> | null = null

  constructor (
    private readonly options: MembershipOptions,
    private readonly store: ObjectStore,
    private readonly ledger: Ledger,
    private readonly log: EventLog
  ) {}

  start (): void {
    const views = { kind: ObjectKind.storageViews, waitMs: viewWaitMs, pauseMs: watchPauseMs }
    this.stops.push(watchObject(this.store, views, viewObjectName, object => this.onView(object), this.log))
    this.stops.push(watchObjects(this.store, {
      kind: ObjectKind.retirements,
      waitMs: retirementWaitMs,
      pauseMs: watchPauseMs
    }, {
      onListing: listing => {
        this.retirements.clear()
        for (const object of listing.objects) this.retirements.set(object.name, { status: object.status })
      },
      onChanges: changes => {
        for (const { name, object } of changes) {
          if (object === null) this.retirements.delete(name)
          else this.retirements.set(name, { status: object.status })
        }
      }
    }, this.log))
    this.ticker = setInterval(() => this.tick(), tickMs)
  }

  stop (): void {
    for (const stop of this.stops) stop()
    if (this.ticker !== null) clearInterval(this.ticker)
    for (const state of this.peers.values()) state.peer.close()
  }

  private onView (object: StoredObject | null): void {
    this.isKnown = true
    if (object !== null && object.revision > this.revision) {
      try {
        this.adopt(parseView(object.spec), object.revision)
      } catch (error) {
        this.log.event(Events.viewRejected, { revision: object.revision, error: formatError(error) })
      }
    }
    this.tick()
  }

  private adopt (view: View, revision: number): void {
    this.revision = revision
    if (view.version <= this.view.version) return
    this.view = view
    this.ledger.adoptView(view)
    this.meetPeers()
    this.log.event(Events.viewAdopted, { version: view.version, revision, members: view.members.map(describe) })
  }

  private meetPeers (): void {
    const others = this.view.members.filter(member => member.diskId !== this.ledger.diskId)
    for (const [diskId, state] of this.peers) {
      if (others.some(member => member.diskId === diskId && member.address === state.member.address)) continue
      state.peer.close()
      this.peers.delete(diskId)
    }
    for (const member of others) {
      if (this.peers.has(member.diskId)) continue
      const peer = this.options.connect(member.address)
      const copier = new PeerCopier(peer, this.ledger)
      const lastContactMs = performance.now()
      this.peers.set(member.diskId, {
        member,
        peer,
        copier,
        mark: null,
        lastContactMs,
        isReachable: true,
        isCopying: false,
        nextCopyMs: 0
      })
    }
  }

  private tick (): void {
    const nowMs = performance.now()
    for (const state of this.peers.values()) this.copyWhenDue(state, nowMs)
    if (this.isKnown && !this.isWriting && nowMs >= this.nextWriteMs) this.improveView(nowMs)
  }

  /// Proposes the first change of the view that is due, if any.
  private improveView (nowMs: number): void {
    const next = this.nextView(nowMs)
    if (next !== this.view) this.write(next)
    else this.reportRetirements()
  }

  private nextView (nowMs: number): View {
    const { options, ledger, view } = this
    const { name, address, zone } = options
    const joined = withMember(view, { name, diskId: ledger.diskId, address, zone }, options.isFirstStart)
    if (joined !== view) return this.isRetired(name) ? view : joined
    const own = view.members.find(member => member.diskId === ledger.diskId)
    if (own?.state === MemberState.joining && this.holdsAll()) return withServing(view, ledger.diskId)
    const leaver = this.memberToLeave(nowMs)
    if (leaver !== null) return withLeaving(view, leaver)
    const isBehind = own?.state === MemberState.serving && own.syncedView < view.leaveVersion
    return isBehind && this.holdsAllSince(view.leaveVersion) ? withSynced(view, ledger.diskId, view.leaveVersion) : view
  }

  /// Whether so many complete peers were copied that every counted record is here.
  private holdsAll (): boolean {
    const copied = [...this.peers.values()].filter(state => {
      const member = this.memberOf(state)
      return member !== undefined && member.state !== MemberState.joining && state.mark?.diskId === member.diskId
    })
    return copied.length >= requiredCopySources(this.view, this.options.toleratedLosses)
  }

  private holdsAllSince (viewVersion: number): boolean {
    return [...this.peers.values()].every(state => {
      const member = this.memberOf(state)
      if (member === undefined || member.state !== MemberState.serving) return true
      return state.mark !== null && state.mark.diskId === member.diskId && state.mark.viewVersion >= viewVersion
    })
  }

  private memberToLeave (nowMs: number): string | null {
    const { view, options } = this
    if (view.members.some(member => member.state === MemberState.leaving)) return null
    for (const member of view.members) {
      if (this.isRetired(member.name) && canLeave(view, member.name, options.toleratedLosses)) return member.name
    }
    const present = this.presentDisks(nowMs)
    for (const state of this.peers.values()) {
      if (nowMs - state.lastContactMs < unreachableAfterMs) continue
      if (canEvict(view, state.member.diskId, present, options.toleratedLosses)) return state.member.name
    }
    return null
  }

  private presentDisks (nowMs: number): ReadonlySet<string> {
    const present = [...this.peers.values()].filter(state => nowMs - state.lastContactMs < presentForMs)
    return new Set([this.ledger.diskId, ...present.map(state => state.member.diskId)])
  }

  private isRetired (name: string): boolean {
    return this.retirements.has(name)
  }

  private memberOf (state: PeerState): Member | undefined {
    return this.view.members.find(member => member.diskId === state.member.diskId)
  }

  private write (next: View): void {
    this.isWriting = true
    this.writeOnce(next).catch((error: unknown) => {
      if (error instanceof StoreConflictError) return this.readAgain()
      this.noteWriteFailure(error)
    }).catch((error: unknown) => this.noteWriteFailure(error)).finally(() => { this.isWriting = false })
  }

  private async writeOnce (next: View): Promise<void> {
    const object = this.revision === 0
      ? await this.store.create(ObjectKind.storageViews, viewObjectName, next)
      : await this.store.update(ObjectKind.storageViews, viewObjectName, next, this.revision)
    this.log.event(Events.viewChanged, {
      from: this.view.version,
      to: next.version,
      members: next.members.map(describe)
    })
    if (object.revision > this.revision) this.adopt(next, object.revision)
  }

  /// A write without an answer may still be done; the watch then shows it.
  private noteWriteFailure (error: unknown): void {
    this.nextWriteMs = performance.now() + writeRetryMs
    this.log.event(Events.storeWriteFailed, { kind: ObjectKind.storageViews, error: formatError(error) })
  }

  private async readAgain (): Promise<void> {
    const object = await this.store.get(ObjectKind.storageViews, viewObjectName)
    if (object !== null) this.onView(object)
  }

  private reportRetirements (): void {
    if (!this.isReporter()) return
    for (const [name, { status }] of this.retirements) {
      const isGone = !this.view.members.some(member => member.name === name)
      const state = isGone && this.view.version > 0 ? 'completed' : 'running'
      const before = (status as { state?: unknown } | null)?.state
      if (before === state || before === 'completed') continue
      this.retirements.set(name, { status: { state } })
      this.log.event(Events.retirement, { name, state, viewVersion: this.view.version })
      this.store.updateStatus(ObjectKind.retirements, name, { state }).catch((error: unknown) => {
        this.retirements.set(name, { status })
        this.log.event(Events.storeWriteFailed, { kind: ObjectKind.retirements, name, error: formatError(error) })
      })
    }
  }

  /// One member speaks for all: the first one that is present.
  private isReporter (): boolean {
    const present = this.presentDisks(performance.now())
    const first = this.view.members.find(member => member.state === MemberState.serving && present.has(member.diskId))
    return first?.diskId === this.ledger.diskId
  }

  private copyWhenDue (state: PeerState, nowMs: number): void {
    if (state.isCopying || nowMs < state.nextCopyMs) return
    state.isCopying = true
    state.copier.pass(this.view.version).then(({ mark, copied }) => {
      state.mark = mark
      this.noteContact(state)
      if (copied > 0) {
        this.log.event(Events.copyCompleted, {
          from: state.member.name,
          copied,
          viewVersion: mark.viewVersion
        })
      }
    }, (error: unknown) => {
      this.log.event(Events.copyFailed, { from: state.member.name, error: formatError(error) })
      this.noteSilence(state)
    }).finally(() => {
      state.isCopying = false
      state.nextCopyMs = performance.now() + (this.isUrgent() ? urgentCopyPauseMs : calmCopyPauseMs)
    })
  }

  private isUrgent (): boolean {
    const own = this.view.members.find(member => member.diskId === this.ledger.diskId)
    return own?.state !== MemberState.serving || own.syncedView < this.view.leaveVersion
  }

  private noteContact (state: PeerState): void {
    if (!state.isReachable) this.log.event(Events.memberRegained, { member: state.member.name })
    state.isReachable = true
    state.lastContactMs = performance.now()
  }

  private noteSilence (state: PeerState): void {
    if (state.isReachable) this.log.event(Events.memberLost, { member: state.member.name })
    state.isReachable = false
  }
}

function describe (member: Member): string {
  return `${member.name}:${member.state}${member.replacement ? ':replacement' : ''}`
}
