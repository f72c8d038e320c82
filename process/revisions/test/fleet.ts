import { ObjectWatch, StoreUnavailableError } from '#connection/store'
import type { ChangeWait, ObjectStore, StoreChange, StoreChanges, StoreListing, StoredObject } from '#connection/store'
import { noopLog } from '#process/log'
import { RevisionGossip, gossipTickMs } from '#process/revisions'
import type { GossipPeer, RevisionDigest } from '#process/revisions'

export const kind = 'instances'
const responseMs = 4
const digestMs = 1
const timeoutMarginMs = 500
const requestTimeoutMs = 900

/// A waiting or listing request of an entry; `end` is not called any more once it has gone silent.
interface PendingRequest {
  readonly entry: string
  isSilent: boolean
  readonly check: () => void
}

/// A store in memory that counts calls.
export class CountingStore {
  calls = 0
  /// Entries that it doesn't respond to.
  readonly refused = new Set<string>()
  private revision = 1
  private readonly history: StoreChange[] = []
  private readonly objects = new Map<string, StoredObject>()
  private readonly pending = new Set<PendingRequest>()

  put (name: string): void {
    const object = { name, revision: ++this.revision, spec: null, status: null }
    this.objects.set(name, object)
    this.history.push({ name, revision: this.revision, object })
    for (const request of [...this.pending]) request.check()
  }

  /// The requests that wait get no response, on connections that stay open.
  silence (isAffected: (entry: string) => boolean): void {
    for (const request of this.pending) if (isAffected(request.entry)) request.isSilent = true
  }

  connect (entry: string): ObjectStore {
    return {
      list: async () => {
        this.calls++
        return this.respond(entry, () => this.createListing())
      },
      waitForChanges: (_: string, from: number, { waitMs, signal }: ChangeWait) => {
        this.calls++
        return this.wait(entry, from, waitMs, signal)
      }
    } as unknown as ObjectStore
  }

  private createListing (): StoreListing {
    return { objects: [...this.objects.values()], revision: this.revision }
  }

  private respond<Response> (entry: string, create: () => Response): Promise<Response> {
    return new Promise((resolve, reject) => {
      if (this.refused.has(entry)) setTimeout(() => reject(new StoreUnavailableError('silent', false)), requestTimeoutMs)
      else setTimeout(() => resolve(create()), responseMs)
    })
  }

  private wait (entry: string, from: number, waitMs: number, signal: AbortSignal): Promise<StoreChanges> {
    return new Promise((resolve, reject) => {
      const finish = (settle: () => void): void => {
        this.pending.delete(request)
        clearTimeout(endTimer)
        clearTimeout(timeoutTimer)
        settle()
      }
      const respond = (): void => {
        const response = { changes: this.history.filter(change => change.revision > from), revision: this.revision }
        finish(() => setTimeout(() => resolve(response), responseMs))
      }
      const isHeard = (): boolean => !request.isSilent && !this.refused.has(entry)
      const request: PendingRequest = {
        entry,
        isSilent: false,
        check: () => { if (isHeard() && this.revision > from) respond() }
      }
      const endTimer = setTimeout(() => { if (isHeard()) respond() }, waitMs)
      const timeoutTimer = setTimeout(() => {
        finish(() => reject(new StoreUnavailableError('no response', false)))
      }, waitMs + timeoutMarginMs)
      signal.addEventListener('abort', () => finish(() => reject(new StoreUnavailableError('aborted', false))), { once: true })
      this.pending.add(request)
      request.check()
    })
  }
}

/// An entry that follows one kind of objects.
export class FollowingEntry {
  readonly names = new Set<string>()
  /// Set by tests: digests from and to it are lost.
  isIsolated = false
  /// Set by tests: what it says in place of what it knows.
  alterDigest: (digest: RevisionDigest) => RevisionDigest = digest => digest
  readonly gossip: RevisionGossip
  readonly watch: ObjectWatch
  private readonly timer: ReturnType<typeof setInterval>

  constructor (
    readonly name: string,
    store: CountingStore,
    fleet: Map<string, FollowingEntry>,
    peers: readonly GossipPeer[]
  ) {
    const others = peers.filter(peer => peer.name !== name)
    this.gossip = new RevisionGossip({
      name,
      getPeers: () => others,
      send: (digest, addresses) => {
        if (this.isIsolated) return
        const sent = this.alterDigest(digest)
        for (const address of addresses) setTimeout(() => fleet.get(address)?.receive(sent), digestMs)
      }
    })
    this.watch = new ObjectWatch(store.connect(name), {
      kind,
      pauseMs: 100,
      getWaitMs: () => this.gossip.chooseWaitMs(),
      getMaxRetryMs: () => this.gossip.maxRetryMs,
      onLateNews: () => this.gossip.announceNews()
    }, {
      names: [],
      onObject: changedName => this.names.add(changedName),
      onMissing: () => {}
    }, noopLog)
    this.gossip.add(this.watch)
    this.timer = setInterval(() => this.gossip.tick(), gossipTickMs)
  }

  stop (): void {
    clearInterval(this.timer)
    this.gossip.stop()
    this.watch.stop()
  }

  private receive (digest: RevisionDigest): void {
    if (!this.isIsolated) this.gossip.receive(digest)
  }
}

/// Starts entries that follow the same store.
export function startFleet (count: number, store: CountingStore): FollowingEntry[] {
  const fleet = new Map<string, FollowingEntry>()
  const peers = Array.from({ length: count }, (_, i) => ({ name: `entry-${i}`, address: `entry-${i}` }))
  for (const { name } of peers) fleet.set(name, new FollowingEntry(name, store, fleet, peers))
  return [...fleet.values()]
}
