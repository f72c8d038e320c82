import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { vi } from 'vitest'
import { PeerError } from '#connection/rpc'
import type { LedgerPeer, LedgerRecord, View } from '#connection/rpc'
import { HistoryGoneError, ObjectKind, StoreConflictError, StoreUnavailableError } from '#connection/store'
import type { ObjectStore, StoreChange, StoredObject } from '#connection/store'
import { sleep } from '#process/clock'
import { Disk, Ledger, RecordKind } from '#process/ledger'
import { noopLog } from '#process/log'
import { MemberState, parseView } from '#process/membership'
import { LedgerQuorum } from '#process/quorum'
import { MembershipController } from '#process/storage'

export const startSize = 3
const toleratedLosses = 1
const waitMs = 1500
const defaultLatencyMs = 2
const entryCount = 3
const watchPollMs = 50
const callTimeoutMs = 900

/// The platform's store in memory, which can be away or lose its answers.
class MemoryStore implements ObjectStore {
  isAway = false
  losesAnswers = false
  private revision = 1
  private readonly objects = new Map<string, StoredObject>()

  async list (kind: string): Promise<{ objects: StoredObject[], revision: number }> {
    await this.call()
    const objects = [...this.objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
    return { objects, revision: this.revision }
  }

  async waitForChanges (
    kind: string,
    revision: number,
    waitMs: number
  ): Promise<{ changes: StoreChange[], revision: number }> {
    for (let waited = 0; waited < waitMs; waited += watchPollMs) {
      await sleep(watchPollMs)
      if (this.isAway) throw new HistoryGoneError('the watch was cut')
      const objects = [...this.objects].filter(([key, object]) => key.startsWith(`${kind}/`) && object.revision > revision)
      const changes = objects.map(([, object]) => ({ name: object.name, object }))
      if (changes.length > 0) return { changes, revision: this.revision }
    }
    return { changes: [], revision: this.revision }
  }

  async get (kind: string, name: string): Promise<StoredObject | null> {
    await this.call()
    return this.objects.get(`${kind}/${name}`) ?? null
  }

  async create (kind: string, name: string, spec: unknown): Promise<StoredObject> {
    return await this.write(kind, name, spec, undefined)
  }

  async update (kind: string, name: string, spec: unknown, revision: number): Promise<StoredObject> {
    return await this.write(kind, name, spec, revision)
  }

  async updateStatus (kind: string, name: string, status: unknown): Promise<void> {
    await this.call()
    const object = this.objects.get(`${kind}/${name}`)!
    this.objects.set(`${kind}/${name}`, { ...object, revision: ++this.revision, status })
  }

  private async write (kind: string, name: string, spec: unknown, expected: number | undefined): Promise<StoredObject> {
    await this.call()
    const key = `${kind}/${name}`
    if (this.objects.get(key)?.revision !== expected) throw new StoreConflictError(kind, name)
    const object = { name, revision: ++this.revision, spec: JSON.parse(JSON.stringify(spec)), status: null }
    this.objects.set(key, object)
    if (this.losesAnswers) throw new StoreUnavailableError('the answer was lost', true)
    return object
  }

  private async call (): Promise<void> {
    await sleep(defaultLatencyMs)
    if (this.isAway) throw new StoreUnavailableError('away', false)
  }
}

interface Node {
  readonly name: string
  readonly address: string
  folder: string
  ledger: Ledger | null
  membership: MembershipController | null
  isGone: boolean
}

/// Storage instances with their real code over a fake network, disk faults and
/// clock, and some entries' quorums before them.
export class Cluster {
  readonly store = new MemoryStore()
  readonly nodes: Node[] = []
  readonly entries: readonly LedgerQuorum[]
  /// One way, from an entry or a storage instance to an address.
  latencyMs: (from: string, address: string) => number = () => defaultLatencyMs
  /// Pairs of storage instances that can't reach each other.
  readonly cuts = new Set<string>()
  readonly kept = new Set<string>()
  private turns = 0

  constructor () {
    this.entries = Array.from({ length: entryCount }, (_, i) => new LedgerQuorum({
      zone: 'z',
      toleratedLosses,
      connect: address => this.peer(`entry${i}`, address),
      onStaleView: () => this.readView().catch(() => {})
    }, noopLog))
  }

  get quorum (): LedgerQuorum {
    return this.entries[0]!
  }

  /// A cluster of the size that a system starts with, all of it serving.
  static async start (): Promise<Cluster> {
    const cluster = new Cluster()
    for (let i = 0; i < startSize; i++) cluster.boot(cluster.newNode(), true)
    await cluster.advance(3000)
    await cluster.settle(cluster.readView())
    return cluster
  }

  stop (): void {
    for (const entry of this.entries) entry.close()
    for (const node of this.nodes) {
      node.membership?.stop()
      rmSync(node.folder, { recursive: true, force: true })
    }
  }

  async advance (ms: number): Promise<void> {
    await vi.advanceTimersByTimeAsync(ms)
  }

  get view (): View | null {
    const object = (this.store as unknown as { objects: Map<string, StoredObject> }).objects.get(`${ObjectKind.storageViews}/current`)
    return object === undefined ? null : parseView(object.spec)
  }

  /// Whether another disk may be lost: all members are up and complete.
  get isWhole (): boolean {
    const members = this.view?.members ?? []
    return !this.store.isAway && this.cuts.size === 0 && members.length >= 3 && members.every(member => {
      const node = this.nodes.find(other => other.name === member.name)
      return member.state === MemberState.serving && node?.ledger?.diskId === member.diskId
    })
  }

  kill (node: Node): void {
    node.membership?.stop()
    node.membership = null
    node.ledger = null
  }

  restart (node: Node, losesDisk: boolean): void {
    this.kill(node)
    if (node.isGone) return
    if (losesDisk) {
      rmSync(node.folder, { recursive: true, force: true })
      node.folder = newFolder()
    }
    this.boot(node, false)
  }

  add (): void {
    this.boot(this.newNode(), false)
  }

  remove (node: Node): void {
    node.isGone = true
    this.kill(node)
  }

  async retire (node: Node): Promise<void> {
    if (this.store.isAway) return
    await this.settle(this.store.create(ObjectKind.retirements, node.name, { finish_by_s: 8 }).then(() => {}, () => {}))
  }

  retirementState (node: Node): string | undefined {
    const objects = (this.store as unknown as { objects: Map<string, StoredObject> }).objects
    return (objects.get(`${ObjectKind.retirements}/${node.name}`)?.status as { state?: string } | null)?.state
  }

  /// Tries to keep a turn, after the latest one or at the start of a chain.
  async keepTurn (continues: boolean): Promise<void> {
    const id = `t${++this.turns}`
    const previousId = continues ? [...this.kept].pop() ?? '' : ''
    const turn: LedgerRecord = {
      kind: RecordKind.turn,
      id,
      programId: 'p',
      tokens: 1,
      previousId,
      input: Buffer.from(id),
      output: Buffer.from('o'),
      recordedAtMs: Date.now(),
      retentionMs: 600_000,
      instanceId: ''
    }
    const isKept = await this.settle(this.quorum.append([turn], callTimeoutMs).then(() => true, () => false))
    if (isKept) this.kept.add(id)
  }

  /// The kept turns that are said not to exist; there must be none.
  async denied (): Promise<string[]> {
    const denied: string[] = []
    for (const id of this.kept) {
      const chain = await this.settle(this.quorum.findChain(id, callTimeoutMs).catch(() => 'unknown' as const))
      if (chain === null) denied.push(id)
    }
    return denied
  }

  /// The kept turns that are found.
  async found (): Promise<number> {
    let found = 0
    for (const id of this.kept) {
      const chain = await this.settle(this.quorum.findChain(id, callTimeoutMs).catch(() => null))
      if (chain !== null) found++
    }
    return found
  }

  /// Lets time go on until the work is done.
  async settle<Value> (work: Promise<Value>): Promise<Value> {
    const progress = { isDone: false }
    const done = work.finally(() => { progress.isDone = true })
    while (!progress.isDone) await this.advance(1)
    return await done
  }

  private async readView (): Promise<void> {
    const object = await this.store.get(ObjectKind.storageViews, 'current')
    if (object === null) return
    for (const entry of this.entries) entry.adoptView(parseView(object.spec), 'store')
  }

  private newNode (): Node {
    const name = `s${this.nodes.length}`
    const node = { name, address: `${name}:1`, folder: newFolder(), ledger: null, membership: null, isGone: false }
    this.nodes.push(node)
    return node
  }

  private boot (node: Node, isFirst: boolean): void {
    const { disk, contents } = Disk.open(node.folder, noopLog)
    const ledger = node.ledger = new Ledger(disk, contents)
    node.membership = new MembershipController({
      name: node.name,
      address: node.address,
      zone: 'z',
      toleratedLosses,
      isFirstStart: isFirst && contents.wasEmpty,
      connect: address => this.peer(node.name, address)
    }, this.store, ledger, noopLog)
    node.membership.start()
  }

  private peer (from: string, address: string): LedgerPeer {
    const reach = async <Reply> (ask: (ledger: Ledger) => Promise<Reply>): Promise<Reply> => {
      await sleep(this.latencyMs(from, address))
      const node = this.nodes.find(other => other.address === address)
      if (node?.ledger == null || this.cuts.has(`${from}|${node.name}`) || this.cuts.has(`${node.name}|${from}`)) {
        throw new PeerError(`${address} is out of reach`)
      }
      const reply = await ask(node.ledger)
      await sleep(this.latencyMs(from, address))
      if (node.ledger === null) throw new PeerError(`${address} died`)
      return reply
    }
    return {
      append: request => reach(ledger => ledger.append(request)),
      findChain: request => reach(ledger => ledger.findChain(request)),
      digest: request => reach(ledger => ledger.digest(request)),
      fetch: request => reach(ledger => ledger.fetch(request)),
      close: () => {}
    }
  }
}

/// What may happen to a cluster, where the tolerated losses allow it.
export type Fault = 'kill' | 'restart' | 'wipe' | 'away' | 'back' | 'wait'

export const faults: Readonly<Record<Fault, (on: Cluster, node: Node) => void | Promise<void>>> = {
  kill: (on, node) => on.kill(node),
  restart: on => { for (const node of on.nodes) if (node.ledger === null) on.restart(node, false) },
  wipe: (on, node) => { if (on.isWhole && !node.isGone) on.restart(node, true) },
  away: on => { on.store.isAway = true },
  back: on => { on.store.isAway = false },
  wait: on => on.advance(waitMs)
}

/// Clusters live on this clock; `vi.useRealTimers` ends it.
export function pauseClock (): void {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date'] })
}

function newFolder (): string {
  return mkdtempSync(join(tmpdir(), 'cluster-'))
}
