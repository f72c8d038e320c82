import type { LedgerPeer, Member, View } from '#connection/rpc'
import { ObjectKind, ObjectWatch, StoreConflictError, handleObject } from '#connection/store'
import type { ObjectStore, StoredObject } from '#connection/store'
import { retry } from '#process/clock'
import type { Ledger } from '#process/ledger'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'
import { MemberState, computeNextView, emptyView, needsMember, parseView, viewObjectName } from '#process/membership'
import { Retirements } from './retirements.js'
import { StoragePeers, standbyTimeoutMs } from './storagepeers.js'

/// The storage instance that takes part in the membership.
export interface MembershipOptions {
  readonly name: string
  readonly address: string
  readonly zone: string
  readonly toleratedLosses: number
  /// Whether the disk was new in the first start of the system, and has got no records since.
  readonly isFirstStart: boolean
  readonly connect: (address: string) => LedgerPeer
  /// Returns numbers in [0, 1), by which instances that start at the same time differ; `Math.random` if not given.
  readonly random?: () => number
}

/// Replies of peers show sooner that the view has changed.
const viewWatchWaitMs = 20_000
const retirementWatchWaitMs = 10_000
const watchPauseMs = 50
const reconcileIntervalMs = 400
const writeRetryDelayMs = 800
const saveRetryDelayMs = 400
/// Longer than the others' presence times, a copy pass and its timeout together.
const lastingPresenceMs = 8000
/// Between two times that this instance takes back that it leaves.
const takeBackPauseMs = 15_000
/// At the first start all instances want to register, and each write that succeeds makes the others fail. So each waits
/// for a random part of this period after the view has changed.
const formingSpreadMs = 600
const minViewRefreshIntervalMs = 1000

/// Keeps a storage instance in the membership: registers its disk, and changes the view in the platform's store by
/// conditional writes.
export class MembershipController {
  private view: View = emptyView
  private revision = 0
  /// Of the latest view that is adopted or being saved.
  private latestRevision = 0
  /// Whether the view's object has been read, or found not to exist.
  private hasReadView = false
  private isWriting = false
  private nextWriteMs = 0
  private nextTakeBackMs = 0
  private readonly peers: StoragePeers
  private readonly retirements: Retirements
  private readonly stopping = new AbortController()
  private nextViewRefreshMs = 0
  private viewWatch: ObjectWatch | null = null
  private retirementWatch: ObjectWatch | null = null
  private reconcileTimer: ReturnType<typeof setInterval> | null = null
  private formingTimer: ReturnType<typeof setTimeout> | undefined = undefined

  constructor (
    private readonly options: MembershipOptions,
    private readonly store: ObjectStore,
    private readonly ledger: Ledger,
    private readonly log: EventLog
  ) {
    this.peers = new StoragePeers({ ...options, onPeerView: version => this.onPeerView(version) }, ledger, log)
    this.retirements = new Retirements(store, () => this.reconcile(), log)
  }

  /// Begins with the view that this instance has adopted before its start.
  start (): void {
    const { store, log, options, ledger } = this
    if (ledger.view.version > 0) this.followView(ledger.view)
    const watchOptions = { kind: ObjectKind.storageViews, getWaitMs: () => viewWatchWaitMs, pauseMs: watchPauseMs }
    const viewHandler = handleObject(viewObjectName, object => this.onView(object))
    this.viewWatch = new ObjectWatch(store, watchOptions, viewHandler, log)
    if (options.isFirstStart) this.delayFormingWrite()
    this.reconcileTimer = setInterval(() => this.reconcile(), reconcileIntervalMs)
  }

  stop (): void {
    this.stopping.abort()
    this.viewWatch?.stop()
    this.retirementWatch?.stop()
    clearTimeout(this.formingTimer)
    if (this.reconcileTimer !== null) clearInterval(this.reconcileTimer)
    this.peers.close()
  }

  private onView (object: StoredObject | null): void {
    this.hasReadView = true
    if (object !== null && object.revision > this.latestRevision) {
      try {
        this.startAdoption(parseView(object.spec), object.revision)
      } catch (error) {
        this.log.event(Events.viewRejected, { revision: object.revision, error: formatError(error) })
      }
    }
    this.reconcile()
  }

  private startAdoption (view: View, revision: number): void {
    this.adoptView(view, revision).then(() => this.reconcile()).catch((error: unknown) => {
      this.log.event(Events.unexpectedError, { where: 'adopting a view', error: formatError(error) })
    })
  }

  /// Resolves once the view, or a newer one, is adopted, or at a stop. It is on the disk by then: also in its own
  /// decisions, this instance relies only on a view that it can't forget.
  private async adoptView (view: View, revision: number): Promise<void> {
    this.latestRevision = revision
    const { signal } = this.stopping
    await retry(() => this.ledger.adoptView(view), {
      delayMs: saveRetryDelayMs,
      signal,
      onFailure: error => this.log.event(Events.diskFailed, { of: 'view', error: formatError(error) })
    }).catch((error: unknown) => { if (!signal.aborted) throw error })
    if (signal.aborted || revision <= this.revision) return
    const isFirstRead = this.revision === 0
    this.revision = revision
    if (view.version <= this.view.version) return
    this.followView(view, isFirstRead)
    this.log.event(Events.viewAdopted, { version: view.version, revision, members: view.members.map(describeMember) })
  }

  private followView (view: View, isFirstRead = false): void {
    this.view = view
    this.peers.update(view, isFirstRead)
    if (this.options.isFirstStart && !this.peers.isListed) this.delayFormingWrite()
  }

  private delayFormingWrite (): void {
    const { random = Math.random } = this.options
    const delayMs = random() * formingSpreadMs
    this.nextWriteMs = performance.now() + delayMs
    clearTimeout(this.formingTimer)
    this.formingTimer = setTimeout(() => this.reconcile(), Math.ceil(delayMs))
  }

  private reconcile (): void {
    const nowMs = performance.now()
    this.peers.contactWhenDue(nowMs)
    const knowsView = this.hasReadView && this.revision === this.latestRevision
    if (knowsView && !this.isWriting && nowMs >= this.nextWriteMs) this.proposeChange(nowMs)
  }

  /// Writes the next change of the view, if one is due; otherwise reports retirements.
  private proposeChange (nowMs: number): void {
    const next = this.computeNextView(nowMs)
    if (next !== this.view) this.startWrite(next)
    else if (this.isReporter(nowMs)) this.retirements.report(this.view)
  }

  private computeNextView (nowMs: number): View {
    const { options, ledger, peers, view, retirements } = this
    const { name, address, zone, toleratedLosses, isFirstStart } = options
    if (!this.followRetirements(peers.isListed || !this.isStandby(nowMs))) return view
    return computeNextView(view, {
      own: { name, diskId: ledger.diskId, address, zone },
      toleratedLosses,
      listedVersion: peers.listedVersion,
      stateVersion: peers.stateVersion,
      isFirstStart,
      retiredNames: retirements,
      passes: peers.passes,
      presentDiskIds: peers.getPresentDiskIds(nowMs),
      lastingDiskIds: peers.getPresentDiskIds(nowMs, lastingPresenceMs),
      mayTakeBack: nowMs >= this.nextTakeBackMs,
      absent: peers.findAbsent(nowMs)
    })
  }

  /// Retirements concern members only, and instances that would join. Returns whether they are known.
  private followRetirements (isNeeded: boolean): boolean {
    if (!isNeeded) {
      this.retirementWatch?.stop()
      this.retirementWatch = null
      this.retirements.clear()
      return false
    }
    const watchOptions = { kind: ObjectKind.retirements, getWaitMs: () => retirementWatchWaitMs, pauseMs: watchPauseMs }
    this.retirementWatch ??= new ObjectWatch(this.store, watchOptions, this.retirements, this.log)
    return this.retirements.isListed
  }

  private isStandby (nowMs: number): boolean {
    const presentDiskIds = this.peers.getPresentDiskIds(nowMs, standbyTimeoutMs)
    return !needsMember(this.view, presentDiskIds, this.options.toleratedLosses)
  }

  private startWrite (next: View): void {
    this.isWriting = true
    if (this.isLeaving(this.view) && !this.isLeaving(next)) this.nextTakeBackMs = performance.now() + takeBackPauseMs
    this.writeView(next).catch((error: unknown) => {
      if (error instanceof StoreConflictError) return this.refreshView(error.current)
      this.recordWriteFailure(error)
    }).catch((error: unknown) => this.recordWriteFailure(error)).finally(() => { this.isWriting = false })
  }

  private isLeaving ({ members }: View): boolean {
    return members.some(({ diskId, state }) => diskId === this.ledger.diskId && state === MemberState.leaving)
  }

  private async writeView (next: View): Promise<void> {
    const object = this.revision === 0
      ? await this.store.create(ObjectKind.storageViews, viewObjectName, next)
      : await this.store.update(ObjectKind.storageViews, viewObjectName, next, this.revision)
    this.log.event(Events.viewChanged, {
      from: this.view.version,
      to: next.version,
      members: next.members.map(describeMember)
    })
    if (object.revision > this.latestRevision) await this.adoptView(next, object.revision)
  }

  /// A write that failed without a response may have been applied all the same;
  /// the watch then delivers the new view.
  private recordWriteFailure (error: unknown): void {
    this.nextWriteMs = performance.now() + writeRetryDelayMs
    this.log.event(Events.storeWriteFailed, { kind: ObjectKind.storageViews, error: formatError(error) })
  }

  private async refreshView (current: StoredObject | null): Promise<void> {
    const object = current ?? await this.store.get(ObjectKind.storageViews, viewObjectName)
    if (object !== null) this.onView(object)
  }

  /// A peer has replied with a view of this version.
  private onPeerView (version: number): void {
    const nowMs = performance.now()
    if (version <= this.view.version || nowMs < this.nextViewRefreshMs) return
    this.nextViewRefreshMs = nowMs + minViewRefreshIntervalMs
    this.viewWatch?.refresh()
  }

  /// Retirements are reported by one member only, the first serving one that is present.
  private isReporter (nowMs: number): boolean {
    const presentDiskIds = this.peers.getPresentDiskIds(nowMs)
    const reporter = this.view.members.find(member =>
      member.state === MemberState.serving && presentDiskIds.has(member.diskId))
    return reporter?.diskId === this.ledger.diskId
  }
}

function describeMember (member: Member): string {
  return `${member.name}:${member.state}${member.replacement ? ':replacement' : ''}`
}
