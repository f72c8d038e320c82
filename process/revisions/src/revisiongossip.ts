import type { SpeedNews } from '#process/speed'
import { unitHash } from '#version/configuration'
import type { RevisionDigest } from './digest.js'

/// A watch of the platform's store, as far as digests concern it.
export interface FollowedKind {
  readonly kind: string
  readonly knownRevision: number
  readonly latestChangeRevision: number
  readonly isUp: boolean
  /// On the monotonic clock of `performance.now()`.
  readonly respondedAtMs: number
  readonly isWaiting: boolean
  refresh (): void
}

/// Another entry, to which digests are sent.
export interface GossipPeer {
  readonly name: string
  /// HOST:PORT.
  readonly address: string
}

export interface GossipOptions {
  readonly name: string
  /// Null until they have been listed.
  readonly getPeers: () => readonly GossipPeer[] | null
  readonly send: (digest: RevisionDigest, addresses: readonly string[]) => void
  /// What this entry has observed of instances, for the digests that are sent in each tick.
  readonly takeSpeedNews?: () => readonly SpeedNews[]
  readonly onSpeedNews?: (news: readonly SpeedNews[]) => void
}

/// Interval at which `tick` must be called.
export const gossipTickMs = 1000
/// Each digest goes to so many peers that follow this entry in a ring, and to some drawn at random: more if it holds
/// late news.
const successorCount = 3
const drawnCount = 1
const drawnForNewsCount = 6
/// An entry that has got no digest for so many ticks relies on its own watches alone.
const maxSilentTicks = 3
/// How long an entry that is behind a digest waits for its own watch.
const graceMs = 150
/// Interval between two refreshes of a watch.
const minRefreshIntervalMs = 1000
const minRetryIntervalMs = 500
const maxRetryJitterMs = 200
/// A clock that runs this much faster than ticks means that the process was paused or suspended.
const pauseThresholdMs = 1000
/// The wait of a watch on its own, after which a connection that has gone silent is noticed.
const loneWaitMs = 2000
/// All entries together end a wait about this often, at random times.
const sharedWaitMs = 800
const minSharedWaitMs = 4000
const maxWaitMs = 30_000
const loneMaxRetryMs = 600
/// All entries together retry about this often while the store is unavailable.
const sharedRetryMs = 50
const maxRetryMs = 3000
/// The store's last response to any entry may be this old before an entry takes its own state for out of date: waits
/// end some seconds apart in all, and digests take a second for each of the four steps in which they reach 380 entries.
const maxSharedAgeMs = 6000
/// The same for an entry on its own, whose waits end after `loneWaitMs`.
const maxLoneAgeMs = 3000
/// What another entry knew this long ago doesn't count any more: entries repeat it each second.
const claimValidMs = 5000
/// After a pause, all watches ask the store at once. It responds within this time if there are changes, and only then.
const catchUpMs = 1000
/// The store is up if it responded to any entry within this time.
const maxUpAgeMs = 2500

/// The latest revision of a kind that other entries have named.
interface RevisionClaim {
  readonly revision: number
  readonly heardAtMs: number
}

/// Entries tell one another which changes of the store they know, so that each can wait long for the next one: one that
/// is behind asks the store itself. What others say is never taken for the store's contents. A watch whose connection
/// has gone silent is noticed by what others know; if all have, by the first wait that ends.
export class RevisionGossip {
  private readonly watches = new Map<string, FollowedKind>()
  private readonly refreshedAtMs = new Map<string, number>()
  private readonly graceTimers = new Map<string, ReturnType<typeof setTimeout>>()
  /// By kind.
  private readonly claims = new Map<string, RevisionClaim>()
  private orderedPeers: readonly GossipPeer[] | null = null
  private ring: readonly GossipPeer[] = []
  private silentTicks = maxSilentTicks
  /// The latest response that the store is known to have sent to any entry.
  private storeUpAtMs = -Infinity
  private tickedAtMs = performance.now()
  private tickedAtUnixMs = Date.now()
  private resumedAtMs = -Infinity

  constructor (private readonly options: GossipOptions) {}

  add (watch: FollowedKind): void {
    this.watches.set(watch.kind, watch)
  }

  /// How long the next request of a watch should wait for changes.
  chooseWaitMs (): number {
    if (!this.isInformed) return loneWaitMs
    const limitMs = Math.min(maxWaitMs, Math.max(minSharedWaitMs, this.entryCount * sharedWaitMs))
    return Math.ceil(Math.random() * limitMs)
  }

  /// The longest delay between two requests while the store is unavailable.
  get maxRetryMs (): number {
    if (!this.isInformed || this.isStoreUp) return loneMaxRetryMs
    return Math.min(maxRetryMs, Math.max(loneMaxRetryMs, this.entryCount * sharedRetryMs))
  }

  /// Whether there may be a change of this kind that this entry should know and doesn't: its watch has lost the store,
  /// another entry knows a later change, the process was paused just now, or the store has not responded for long, as
  /// far as is known.
  mayBeBehind (kind: string): boolean {
    const watch = this.watches.get(kind)
    if (watch === undefined || !watch.isUp || this.isCatchingUp) return true
    if (this.getClaimedRevision(kind) > watch.knownRevision) return true
    if (this.isInformed) return this.storeUpAgeMs > maxSharedAgeMs
    return performance.now() - watch.respondedAtMs > maxLoneAgeMs
  }

  /// Digests and responses that came during a pause may not have been read yet.
  private get isCatchingUp (): boolean {
    const nowMs = performance.now()
    return nowMs - this.tickedAtMs > gossipTickMs + pauseThresholdMs || nowMs - this.resumedAtMs < catchUpMs
  }

  /// Must be called each `gossipTickMs`.
  tick (): void {
    const wasInformed = this.isInformed
    this.silentTicks++
    const isBackFromPause = this.checkPause()
    if (isBackFromPause) this.resumedAtMs = performance.now()
    // The waits that are under way are too long for an entry on its own.
    if (isBackFromPause || (wasInformed && !this.isInformed)) this.refreshAll()
    this.sendDigest(drawnCount, this.options.takeSpeedNews?.() ?? [])
  }

  /// Must be called for changes that the store did not send by itself: the connections of others may have gone silent
  /// too.
  announceNews (): void {
    this.sendDigest(drawnForNewsCount, [])
  }

  private sendDigest (drawn: number, speeds: readonly SpeedNews[]): void {
    const watches = [...this.watches.values()]
    this.options.send({
      name: this.options.name,
      revisions: Object.fromEntries(watches.map(({ kind, latestChangeRevision }) => [kind, latestChangeRevision])),
      upAgeMs: this.storeUpAgeMs === Infinity ? null : Math.round(this.storeUpAgeMs),
      speeds
    }, this.chooseAddresses(drawn))
  }

  receive ({ name, revisions, upAgeMs, speeds }: RevisionDigest): void {
    if (name === this.options.name) return
    this.silentTicks = 0
    if (speeds.length > 0) this.options.onSpeedNews?.(speeds)
    if (upAgeMs !== null) this.storeUpAtMs = Math.max(this.storeUpAtMs, performance.now() - upAgeMs)
    for (const watch of this.watches.values()) {
      this.recordClaim(watch.kind, revisions[watch.kind] ?? 0)
      if (!watch.isUp) {
        if (this.isStoreUp) this.retrySoon(watch)
      } else if ((revisions[watch.kind] ?? 0) > watch.knownRevision) {
        this.refreshIfBehind(watch, revisions[watch.kind]!)
      }
    }
  }

  stop (): void {
    for (const timer of this.graceTimers.values()) clearTimeout(timer)
    this.graceTimers.clear()
  }

  private recordClaim (kind: string, revision: number): void {
    if (revision >= this.getClaimedRevision(kind)) this.claims.set(kind, { revision, heardAtMs: performance.now() })
  }

  private getClaimedRevision (kind: string): number {
    const claim = this.claims.get(kind)
    return claim !== undefined && performance.now() - claim.heardAtMs < claimValidMs ? claim.revision : 0
  }

  private get isInformed (): boolean {
    return this.silentTicks < maxSilentTicks
  }

  private get storeUpAgeMs (): number {
    const ownAtMs = [...this.watches.values()].map(({ respondedAtMs }) => respondedAtMs)
    return performance.now() - Math.max(this.storeUpAtMs, ...ownAtMs)
  }

  private get isStoreUp (): boolean {
    return this.storeUpAgeMs < maxUpAgeMs
  }

  private get entryCount (): number {
    return (this.options.getPeers()?.length ?? 0) + 1
  }

  /// Whether much more time has passed since the last tick than was due.
  private checkPause (): boolean {
    const nowMs = performance.now()
    const nowUnixMs = Date.now()
    const elapsedMs = nowMs - this.tickedAtMs
    const elapsedUnixMs = nowUnixMs - this.tickedAtUnixMs
    this.tickedAtMs = nowMs
    this.tickedAtUnixMs = nowUnixMs
    return Math.max(elapsedMs, elapsedUnixMs) > gossipTickMs + pauseThresholdMs
  }

  private refreshIfBehind (watch: FollowedKind, revision: number): void {
    this.schedule(watch.kind, graceMs, () => {
      if (watch.isWaiting && watch.knownRevision < revision) this.refresh(watch)
    })
  }

  private retrySoon (watch: FollowedKind): void {
    if (this.getRefreshAgeMs(watch) < minRetryIntervalMs) return
    this.schedule(watch.kind, Math.random() * maxRetryJitterMs, () => {
      if (watch.isUp) return
      this.refreshedAtMs.set(watch.kind, performance.now())
      watch.refresh()
    })
  }

  private refreshAll (): void {
    for (const watch of this.watches.values()) this.refresh(watch)
  }

  private refresh (watch: FollowedKind): void {
    if (this.getRefreshAgeMs(watch) < minRefreshIntervalMs) return
    this.refreshedAtMs.set(watch.kind, performance.now())
    watch.refresh()
  }

  private getRefreshAgeMs ({ kind }: FollowedKind): number {
    return performance.now() - (this.refreshedAtMs.get(kind) ?? -Infinity)
  }

  /// Runs `action` after the delay, unless one is scheduled for the kind already.
  private schedule (kind: string, delayMs: number, action: () => void): void {
    if (this.graceTimers.has(kind)) return
    this.graceTimers.set(kind, setTimeout(() => {
      this.graceTimers.delete(kind)
      action()
    }, delayMs))
  }

  private chooseAddresses (drawn: number): string[] {
    const ring = this.getRing()
    const chosen = new Set(ring.slice(0, successorCount))
    for (let i = 0; i < drawn && ring.length > 0; i++) chosen.add(ring[Math.floor(Math.random() * ring.length)]!)
    return [...chosen].map(({ address }) => address)
  }

  /// The other entries in the order in which they follow this one.
  private getRing (): readonly GossipPeer[] {
    const peers = this.options.getPeers()
    if (peers === this.orderedPeers) return this.ring
    const ownRank = unitHash(this.options.name)
    const ranked = (peers ?? []).map(peer => ({ peer, distance: (unitHash(peer.name) - ownRank + 1) % 1 }))
    this.orderedPeers = peers
    this.ring = ranked.sort((a, b) => a.distance - b.distance).map(({ peer }) => peer)
    return this.ring
  }
}
