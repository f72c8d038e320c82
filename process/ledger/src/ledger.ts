import { randomBytes } from 'node:crypto'
import { RecordKind, Room } from '#connection/rpc'
import type { AppendReply, AppendRequest, DigestReply, DigestRequest, FetchReply, FetchRequest, FindChainReply, FindChainRequest, LedgerHandler, LedgerRecord, Standing, View } from '#connection/rpc'
import { Events, noopLog } from '#process/log'
import type { EventFields, EventLog } from '#process/log'
import { getContentBytes } from './contents.js'
import type { Disk, DiskContents } from './disk.js'
import { DiskClosedError } from './diskclosed.js'
import { PromisedContents } from './promises.js'
import { RecordIndex, getMessageBytes, recordKey, turnKey } from './records.js'
import type { IndexedRecord } from './records.js'
import { getRoom, getUsedShare, isFull, noLimits } from './room.js'
import type { LedgerLimits, LedgerUsage } from './room.js'

/// A reply with records ends with the one that takes it beyond this size.
const maxReplyBytes = 2 * 1024 * 1024
/// What the index takes of memory for a record, with its account.
const indexedRecordBytes = 800
/// With more segments than this, short ones are compacted into the newest: each start leaves one.
const maxSegments = 8
const shortSegmentBytes = 1024 * 1024
/// A segment of which no more than this share is still in use is compacted in any case. With a larger share, much would
/// be moved that expires soon.
const maxCompactedShare = 0.25
/// One compaction moves segments until it has moved so many bytes.
const maxMovedBytes = 8 * 1024 * 1024

/// The records of one storage instance: indexed in memory, and synced to its disk
/// before an append is acknowledged. Inputs and outputs are only on the disk.
/// Handles the requests of the ledger protocol.
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
  /// Of records with contents that are not on the disk yet.
  private unwrittenBytes = 0
  private readonly promised = new PromisedContents()
  private room: Room = Room.all
  /// Called when a write to the disk fails.
  onFailure: (error: Error) => void = () => {}

  constructor (
    private readonly disk: Disk,
    contents: DiskContents,
    private readonly log: EventLog = noopLog,
    private readonly limits: LedgerLimits = noLimits
  ) {
    this.adoptedView = contents.view
    for (const { record, place, contentBytes } of contents.records) this.records.add(record, place, contentBytes)
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

  /// What the instance holds now, with what it will hold of turns under way.
  get usage (): LedgerUsage {
    return {
      diskBytes: this.disk.usedBytes + this.unwrittenBytes + this.promised.bytes,
      indexBytes: this.records.count * indexedRecordBytes,
      unwrittenBytes: this.unwrittenBytes
    }
  }

  async append (request: AppendRequest): Promise<AppendReply> {
    await this.persist(request.records)
    const account = request.accountOf === '' ? [] : this.records.getAccount(request.accountOf)
    const chainHeld = request.records.every(record => this.holdsChain(record))
    return { standing: this.createStanding(request.viewVersion), account, chainHeld }
  }

  async findChain (request: FindChainRequest): Promise<FindChainReply> {
    const standing = this.createStanding(request.viewVersion)
    const { turnId, maxBytes } = request
    const found = this.records.getChain(turnId, (messageBytes, bytesBefore) => maxBytes > 0
      ? bytesBefore + messageBytes <= maxBytes
      : bytesBefore <= maxReplyBytes)
    if (found === null) {
      this.log.event(Events.turnAbsent, this.describeQuery(request))
      return { standing, chain: [], incomplete: false, earlierBytes: 0 }
    }
    const { records, isComplete, earlierBytes, lackingId } = found
    if (lackingId !== null) this.log.event(Events.chainIncomplete, { ...this.describeQuery(request), lackingId })
    const chain = records.map(({ id }) => this.read(this.records.get(turnKey(id))!))
    return { standing, chain, incomplete: !isComplete, earlierBytes }
  }

  /// Whether all turns are present that a reservation names. Other records don't hold any.
  private holdsChain ({ kind, previousId }: LedgerRecord): boolean {
    if (kind !== RecordKind.reservation || previousId === '') return true
    return this.records.getChain(previousId, () => false)?.lackingId === null
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
      records.push(this.read(indexed))
      bytes += getMessageBytes(indexed)
      if (bytes > maxReplyBytes) break
    }
    return { standing: this.createStanding(Number.MAX_SAFE_INTEGER), records }
  }

  /// Adds those of the records that are absent, and resolves once all of the records are synced. Rejects, and adds
  /// none, if there is no room for their contents.
  async persist (records: readonly LedgerRecord[]): Promise<void> {
    if (this.failure !== null) throw this.failure
    this.assertRoom(records)
    const added = records.flatMap(record => this.records.add(record) ?? [])
    for (const { record } of added) this.promised.add(record)
    const pending = records.flatMap(record => this.pendingSyncs.get(recordKey(record)) ?? [])
    if (added.length > 0) {
      const synced = this.writeNew(added)
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

  private assertRoom (records: readonly LedgerRecord[]): void {
    const hasContents = records.some(record => getContentBytes(record) > 0 && !this.records.has(record))
    if (!hasContents) return
    const { usage } = this
    const usedShare = getUsedShare({ ...usage, diskBytes: usage.diskBytes - this.promised.bytes }, this.limits)
    if (isFull(usedShare)) throw new Error(`no room: ${Math.round(usedShare * 100)} % of the disk or the memory is used`)
  }

  private async writeNew (added: readonly IndexedRecord[]): Promise<void> {
    const bytes = added.reduce((sum, { contentBytes }) => sum + contentBytes, 0)
    this.unwrittenBytes += bytes
    try {
      await this.write(added, added.map(indexed => indexed.record))
    } finally {
      this.unwrittenBytes -= bytes
    }
  }

  /// Returns a record with its input and output, which are read from the disk. Throws if that fails.
  read (indexed: IndexedRecord): LedgerRecord {
    const { record, contentBytes, place } = indexed
    return contentBytes === 0 || place === null ? record : this.disk.read(place)
  }

  /// Removes expired records and the segments that held nothing else. Moves what is in use of segments that are mostly
  /// unused to the newest one, and of short ones if there are many, and drops them.
  async compact (nowMs: number): Promise<void> {
    this.records.expire(nowMs)
    this.promised.expire(nowMs)
    const usedBytes = this.records.measureSegments()
    const segments = this.disk.closedSegments
    for (const [segment] of segments) if (!usedBytes.has(segment)) this.disk.dropSegment(segment)
    let movedBytes = 0
    for (const [segment, bytes] of segments) {
      if (movedBytes >= maxMovedBytes) return
      const used = usedBytes.get(segment) ?? 0
      const isShort = bytes <= shortSegmentBytes && this.disk.segmentCount > maxSegments
      if (used === 0 || (used > bytes * maxCompactedShare && !isShort)) continue
      await this.moveRecords(segment)
      this.disk.dropSegment(segment)
      movedBytes += used
    }
  }

  /// Writes what is in use of a segment again, in parts, as it is read into memory for that.
  private async moveRecords (segment: number): Promise<void> {
    let part: IndexedRecord[] = []
    let partBytes = 0
    for (const indexed of [...this.records.recordsInSegment(segment)]) {
      part.push(indexed)
      partBytes += getMessageBytes(indexed)
      if (partBytes < maxReplyBytes) continue
      await this.write(part, part.map(moved => this.read(moved)))
      part = []
      partBytes = 0
    }
    if (part.length > 0) await this.write(part, part.map(moved => this.read(moved)))
  }

  /// Writes records with their inputs and outputs to the disk, and resolves once they are synced.
  private async write (indexedRecords: readonly IndexedRecord[], records: readonly LedgerRecord[]): Promise<void> {
    try {
      const places = await this.disk.append(records)
      indexedRecords.forEach((indexed, i) => this.records.setPlace(indexed, places[i]!))
    } catch (error) {
      if (error instanceof DiskClosedError) throw error
      this.failure = error as Error
      this.onFailure(this.failure)
      throw error
    }
  }

  /// Logs what there is room for when that changes.
  private updateRoom (): Room {
    const { usage } = this
    const usedShare = getUsedShare(usage, this.limits)
    const room = getRoom(usedShare)
    if (room !== this.room) this.log.event(Events.storageRoom, { room, usedShare, ...usage })
    this.room = room
    return room
  }

  private createStanding (callerViewVersion: number): Standing {
    return {
      room: this.updateRoom(),
      diskId: this.diskId,
      viewVersion: this.view.version,
      newerView: this.view.version > callerViewVersion ? this.view : undefined
    }
  }
}
