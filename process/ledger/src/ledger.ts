import { randomBytes } from 'node:crypto'
import type { AppendReply, AppendRequest, DigestReply, DigestRequest, FetchReply, FetchRequest, FindChainReply, FindChainRequest, LedgerHandler, LedgerRecord, Standing, View } from '#connection/rpc'
import { emptyView } from '#process/membership'
import type { Disk, DiskContents } from './disk.js'
import { RecordIndex, recordKey } from './records.js'

const maxFetchBytes = 2 * 1024 * 1024
// Segments beyond this are emptied, oldest first, into the newest one.
const maxSegments = 8

/// One storage instance's records: held in memory, synced on its disk before
/// an append is acknowledged.
export class Ledger implements LedgerHandler {
  readonly records = new RecordIndex()
  /// Names this process's order of arrivals.
  private readonly epoch = randomBytes(6).toString('hex')
  /// The newest membership that this instance knows.
  private view: View = emptyView
  /// Syncs under way, by key: a repeated append waits for the first one.
  private readonly syncing = new Map<string, Promise<unknown>>()
  /// Set once a write failed: what the disk holds isn't known from then on.
  private failure: Error | null = null
  onFailure: (error: Error) => void = () => {}

  constructor (private readonly disk: Disk, contents: DiskContents) {
    for (const { record, segment } of contents.records) this.records.add(record, segment)
  }

  get diskId (): string {
    return this.disk.diskId
  }

  adoptView (view: View): void {
    if (view.version > this.view.version) this.view = view
  }

  async append (request: AppendRequest): Promise<AppendReply> {
    await this.persist(request.records)
    const account = request.accountOf === '' ? [] : this.records.accountOf(request.accountOf)
    return { standing: this.standing(request.viewVersion), account }
  }

  async findChain (request: FindChainRequest): Promise<FindChainReply> {
    const standing = this.standing(request.viewVersion)
    const found = this.records.chainOf(request.turnId)
    if (found === null) return { standing, chain: [], incomplete: false }
    return { standing, chain: found.records, incomplete: !found.isWhole }
  }

  async digest (request: DigestRequest): Promise<DigestReply> {
    const cursor = request.epoch === this.epoch ? request.cursor : 0
    const { keys, next, isEnd } = this.records.digest(cursor, request.limit)
    return { standing: this.standing(request.viewVersion), keys, nextCursor: next, atEnd: isEnd, epoch: this.epoch }
  }

  async fetch (request: FetchRequest): Promise<FetchReply> {
    const records: LedgerRecord[] = []
    let bytes = 0
    for (const key of request.keys) {
      const held = this.records.get(key)
      if (held === undefined) continue
      records.push(held.record)
      bytes += held.record.input.length + held.record.output.length
      if (bytes > maxFetchBytes) break
    }
    return { standing: this.standing(Number.MAX_SAFE_INTEGER), records }
  }

  /// Holds records and resolves once they are synced.
  async persist (records: readonly LedgerRecord[]): Promise<void> {
    if (this.failure !== null) throw this.failure
    const added = records.flatMap(record => this.records.add(record) ?? [])
    const waits = records.flatMap(record => this.syncing.get(recordKey(record)) ?? [])
    if (added.length > 0) {
      const synced = this.disk.append(added.map(held => held.record))
      const keys = added.map(held => recordKey(held.record))
      for (const key of keys) this.syncing.set(key, synced)
      try {
        const segment = await synced
        for (const held of added) held.segment = segment
      } catch (error) {
        this.failure = error as Error
        this.onFailure(this.failure)
        throw error
      } finally {
        for (const key of keys) this.syncing.delete(key)
      }
    }
    await Promise.all(waits)
  }

  /// Forgets expired records, and frees the oldest segment where there are many.
  async compact (nowMs: number): Promise<void> {
    this.records.expire(nowMs)
    if (this.disk.segmentCount <= maxSegments) return
    const oldest = this.disk.oldestSegment
    const live = [...this.records.inSegment(oldest)]
    if (live.length > 0) {
      const segment = await this.disk.append(live.map(held => held.record))
      for (const held of live) held.segment = segment
    }
    this.disk.dropSegment(oldest)
  }

  private standing (callersVersion: number): Standing {
    return {
      diskId: this.diskId,
      viewVersion: this.view.version,
      newerView: this.view.version > callersVersion ? this.view : undefined
    }
  }
}
