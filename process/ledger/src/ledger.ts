import { randomBytes } from 'node:crypto'
import type { AppendReply, AppendRequest, DigestReply, DigestRequest, FetchReply, FetchRequest, FindChainReply, FindChainRequest, LedgerHandler, LedgerRecord, Standing, View } from '#connection/rpc'
import { Events, noopLog } from '#process/log'
import type { EventFields, EventLog } from '#process/log'
import type { Disk, DiskContents } from './disk.js'
import { DiskClosedError } from './diskclosed.js'
import { RecordIndex, getMessageBytes, recordKey } from './records.js'
import type { IndexedRecord } from './records.js'

/// A reply with records ends with the one that takes it beyond this size.
const maxReplyBytes = 2 * 1024 * 1024
/// With more segments than this, the oldest one is compacted into the newest.
const maxSegments = 8

/// The records of one storage instance: indexed in memory, and synced to its disk
/// before an append is acknowledged. Handles the requests of the ledger protocol.
export class Ledger implements LedgerHandler {
  readonly records = new RecordIndex()
  /// Identifies this process's order of arrival. The cursors of digests are positions in it.
  private readonly epoch = randomBytes(6).toString('hex')
  /// The newest view that this instance has adopted. It is on the disk: this instance must not acknowledge by an older
  /// one after a restart, since a machine may be removed once enough others know the view without it.
  private adoptedView: View
  /// Syncs in flight by record key: a repeated append waits for the first one.
  private readonly pendingSyncs = new Map<string, Promise<unknown>>()
  /// Set once a write fails. The contents of the disk are uncertain from then on,
  /// so later appends are rejected.
  private failure: Error | null = null
  /// Called when a write to the disk fails.
  onFailure: (error: Error) => void = () => {}

  constructor (private readonly disk: Disk, contents: DiskContents, private readonly log: EventLog = noopLog) {
    this.adoptedView = contents.view
    for (const { record, segment } of contents.records) this.records.add(record, segment)
  }

  get diskId (): string {
    return this.disk.diskId
  }

  get view (): View {
    return this.adoptedView
  }

  /// Adopts a view, unless a newer one is adopted before. Resolves once it is on the disk, and told to others from then
  /// on. Rejects as `Disk.saveView` does.
  async adoptView (view: View): Promise<void> {
    await this.disk.saveView(view)
    if (view.version > this.view.version) this.adoptedView = view
  }

  async append (request: AppendRequest): Promise<AppendReply> {
    await this.persist(request.records)
    const account = request.accountOf === '' ? [] : this.records.getAccount(request.accountOf)
    return { standing: this.createStanding(request.viewVersion), account }
  }

  async findChain (request: FindChainRequest): Promise<FindChainReply> {
    const standing = this.createStanding(request.viewVersion)
    const { turnId, maxBytes } = request
    const found = this.records.getChain(turnId, (turn, bytesBefore) => maxBytes > 0
      ? bytesBefore + getMessageBytes(turn) <= maxBytes
      : bytesBefore <= maxReplyBytes)
    if (found === null) {
      this.log.event(Events.turnAbsent, this.describeQuery(request))
      return { standing, chain: [], incomplete: false, earlierBytes: 0 }
    }
    const { records, isComplete, earlierBytes, lackingId } = found
    if (lackingId !== null) this.log.event(Events.chainIncomplete, { ...this.describeQuery(request), lackingId })
    return { standing, chain: records, incomplete: !isComplete, earlierBytes }
  }

  private describeQuery ({ turnId, viewVersion }: FindChainRequest): EventFields {
    return { turnId, diskId: this.diskId, viewVersion: this.view.version, askedInView: viewVersion }
  }

  async digest (request: DigestRequest): Promise<DigestReply> {
    const cursor = request.epoch === this.epoch ? request.cursor : 0
    const { keys, nextCursor, isEnd } = this.records.listKeys(cursor, request.limit)
    return { standing: this.createStanding(request.viewVersion), keys, nextCursor, atEnd: isEnd, epoch: this.epoch }
  }

  async fetch (request: FetchRequest): Promise<FetchReply> {
    const records: LedgerRecord[] = []
    let bytes = 0
    for (const key of request.keys) {
      const indexed = this.records.get(key)
      if (indexed === undefined) continue
      records.push(indexed.record)
      bytes += getMessageBytes(indexed.record)
      if (bytes > maxReplyBytes) break
    }
    return { standing: this.createStanding(Number.MAX_SAFE_INTEGER), records }
  }

  /// Adds those of the records that are absent, and resolves once all of the records are synced.
  async persist (records: readonly LedgerRecord[]): Promise<void> {
    if (this.failure !== null) throw this.failure
    const added = records.flatMap(record => this.records.add(record) ?? [])
    const pending = records.flatMap(record => this.pendingSyncs.get(recordKey(record)) ?? [])
    if (added.length > 0) {
      const synced = this.write(added)
      const keys = added.map(indexed => recordKey(indexed.record))
      for (const key of keys) this.pendingSyncs.set(key, synced)
      try {
        await synced
      } finally {
        for (const key of keys) this.pendingSyncs.delete(key)
      }
    }
    await Promise.all(pending)
  }

  /// Resolves once the records that are present now are synced.
  async waitUntilSynced (): Promise<void> {
    await Promise.all(this.pendingSyncs.values())
  }

  /// Removes expired records. If there are more than `maxSegments` segments, moves
  /// the records of the oldest one to the newest and drops it.
  async compact (nowMs: number): Promise<void> {
    this.records.expire(nowMs)
    if (this.disk.segmentCount <= maxSegments) return
    const oldest = this.disk.oldestSegment
    const liveRecords = [...this.records.recordsInSegment(oldest)]
    if (liveRecords.length > 0) {
      await this.write(liveRecords)
    }
    this.disk.dropSegment(oldest)
  }

  /// Writes records to the disk, and resolves once they are synced.
  private async write (indexedRecords: readonly IndexedRecord[]): Promise<void> {
    try {
      const segment = await this.disk.append(indexedRecords.map(indexed => indexed.record))
      for (const indexed of indexedRecords) indexed.segment = segment
    } catch (error) {
      if (error instanceof DiskClosedError) throw error
      this.failure = error as Error
      this.onFailure(this.failure)
      throw error
    }
  }

  private createStanding (callerViewVersion: number): Standing {
    return {
      diskId: this.diskId,
      viewVersion: this.view.version,
      newerView: this.view.version > callerViewVersion ? this.view : undefined
    }
  }
}
