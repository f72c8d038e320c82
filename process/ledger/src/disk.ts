import { closeSync, fdatasync, fdatasyncSync, readdirSync, unlinkSync, writeSync } from 'node:fs'
import type { Dirent } from 'node:fs'
import { join } from 'node:path'
import type { LedgerRecord, View } from '#connection/rpc'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'
import { createBatch } from './batch.js'
import type { Batch } from './batch.js'
import { createFolder } from './createfolder.js'
import { DiskClosedError } from './diskclosed.js'
import { encodeFrame } from './frames.js'
import { openIdentity, removeFirstStartMark } from './identity.js'
import { RecordReader } from './recordreader.js'
import type { RecordPlace } from './recordreader.js'
import { createSegment, formatSegmentName, parseSegmentName, syncSegment } from './segmentfiles.js'
import { SegmentReader } from './segmentreader.js'
import type { SegmentRecord } from './segmentreader.js'
import { ViewFile } from './viewfile.js'

/// The contents of a disk when it was opened.
export interface DiskContents {
  /// Without those that had expired.
  readonly records: readonly SegmentRecord[]
  /// The disk held neither records nor a valid disk id.
  readonly wasEmpty: boolean
  /// The disk was new in the first start of the system, and has got no records since.
  readonly isFromFirstStart: boolean
  /// The newest view that was saved, or the empty one.
  readonly view: View
}

export interface DiskOpenOptions {
  /// Time of the wall clock: records that have expired by then are left out.
  readonly nowMs?: number
  /// Whether the system starts for the first time.
  readonly isFirstStart?: boolean
}

/// A new segment starts once the current one is larger than this.
const segmentRolloverBytes = 8 * 1024 * 1024
/// The descriptor while no segment is open.
const noFile = -1
/// After a sync that took longer, the next one doesn't block the event loop.
const slowSyncMs = 20

/// An append-only log of records in numbered segment files. Each record is framed
/// with its length and checksum, so that a torn write is detected. Appends in one
/// iteration of the event loop share one write and one sync. The sync blocks the
/// event loop, which costs less than handing it to another thread, unless the disk
/// is slow: then another thread waits for it, and appends meanwhile share the next one.
export class Disk {
  private segment = 0
  private file = noFile
  private writtenBytes = 0
  /// The size of each segment, by number in ascending order.
  private readonly segmentBytes = new Map<number, number>()
  private readonly reader: RecordReader
  /// The highest number that a name in the folder has, whether or not it is one of a segment.
  private highestNumber = 0
  private pending: Batch | null = null
  /// What another thread syncs now.
  private inSync: Batch | null = null
  private lastSyncMs = 0
  private isClosed = false
  /// Whether the folder may have the mark of a disk without records.
  private mayBeMarked = true

  private constructor (
    private readonly folder: string,
    readonly diskId: string,
    private readonly viewFile: ViewFile,
    private readonly log: EventLog
  ) {
    this.reader = new RecordReader(folder)
  }

  /// Opens a data folder, creates it if needed, and reads the records that have not expired, or that one of these
  /// needs. Appends go to a new segment, so that no record follows a torn write.
  static open (
    folder: string, log: EventLog, { nowMs = 0, isFirstStart = false }: DiskOpenOptions = {}
  ): { disk: Disk, contents: DiskContents } {
    createFolder(folder)
    const entries = readdirSync(folder, { withFileTypes: true })
    const names = entries.map(({ name }) => name)
    const { diskId, isNew, isFromFirstStart } = openIdentity(folder, names, isFirstStart)
    const fileNames = entries.filter(entry => entry.isFile()).map(({ name }) => name)
    const viewFile = new ViewFile(folder, diskId, fileNames, log)
    const disk = new Disk(folder, diskId, viewFile, log)
    const reader = new SegmentReader(nowMs)
    disk.readSegments(entries, reader)
    const records = reader.takeRecords()
    disk.startSegment()
    log.event(Events.diskOpened, {
      diskId,
      records: records.length,
      expired: reader.recordCount - records.length,
      segments: disk.segmentCount - 1,
      viewVersion: viewFile.view.version,
      isNew
    })
    const hasRecords = reader.recordCount > 0
    if (hasRecords) removeFirstStartMark(folder, names)
    return {
      disk,
      contents: {
        records,
        wasEmpty: isNew && !hasRecords,
        isFromFirstStart: !hasRecords && isFromFirstStart,
        view: viewFile.view
      }
    }
  }

  get segmentCount (): number {
    return this.segmentBytes.size
  }

  /// Of all segments.
  get usedBytes (): number {
    let bytes = 0
    for (const size of this.segmentBytes.values()) bytes += size
    return bytes
  }

  /// The segments that get no further records, the oldest first, and their sizes.
  get closedSegments (): readonly (readonly [segment: number, bytes: number])[] {
    return [...this.segmentBytes].filter(([segment]) => segment !== this.segment)
  }

  /// Appends records, and resolves to their places once they are synced.
  /// Rejects with `DiskClosedError` after the close.
  async append (records: readonly LedgerRecord[]): Promise<RecordPlace[]> {
    if (this.isClosed) throw new DiskClosedError('the disk is closed')
    if (this.pending === null) {
      this.pending = createBatch()
      setImmediate(() => this.writePending())
    }
    const { pending } = this
    const frames = records.map(record => {
      const [header, body] = encodeFrame(record)
      const place = { offset: pending.bytes, bytes: header.length + body.length }
      pending.frames.push(header, body)
      pending.bytes += place.bytes
      return place
    })
    const { segment, offset: batchOffset } = await pending.synced
    return frames.map(({ offset, bytes }) => ({ segment, offset: batchOffset + offset, bytes }))
  }

  /// Reads a record that was appended. Throws if it can't be read.
  read (place: RecordPlace): LedgerRecord {
    if (this.isClosed) throw new DiskClosedError('the disk is closed')
    return this.reader.read(place)
  }

  /// Resolves once each start from this disk begins with this view or a newer one. Rejects with `DiskClosedError` if
  /// the disk is closed before. After another error it may be tried again.
  saveView (view: View): Promise<void> {
    return this.viewFile.save(view)
  }

  /// Removes a segment whose records are in another segment or have expired.
  dropSegment (segment: number): void {
    if (this.segmentBytes.get(segment)! > 0) this.forgetFirstStart()
    this.segmentBytes.delete(segment)
    this.reader.close(segment)
    unlinkSync(join(this.folder, formatSegmentName(segment)))
    this.log.event(Events.segmentDropped, { segment })
  }

  /// What tells that the disk has had records may be in no segment any more.
  private forgetFirstStart (): void {
    if (!this.mayBeMarked) return
    removeFirstStartMark(this.folder, readdirSync(this.folder))
    this.mayBeMarked = false
  }

  /// Appends that wait are written before it. May be called again.
  close (): void {
    this.viewFile.close()
    this.syncAll()
    this.isClosed = true
    this.reader.closeAll()
    if (this.file !== noFile) closeSync(this.file)
    this.file = noFile
  }

  private writePending (): void {
    const batch = this.pending
    if (batch === null || this.inSync !== null) return
    this.pending = null
    try {
      this.write(batch)
      if (this.lastSyncMs < slowSyncMs) this.syncNow(batch)
      else this.syncInThread(batch)
    } catch (error) {
      this.fail(error as Error, batch)
    }
  }

  /// Syncs what another thread syncs, and then what waits, before it returns.
  private syncAll (): void {
    const { inSync, pending } = this
    this.inSync = this.pending = null
    try {
      if (inSync !== null) this.syncNow(inSync)
      if (pending === null) return
      this.write(pending)
      this.syncNow(pending)
    } catch (error) {
      this.fail(error as Error, inSync, pending)
    }
  }

  private write (batch: Batch): void {
    if (this.writtenBytes > segmentRolloverBytes) this.tryNextSegment()
    batch.place = { segment: this.segment, offset: this.writtenBytes }
    const bytes = Buffer.concat(batch.frames)
    batch.frames.length = 0
    for (let offset = 0; offset < bytes.length;) offset += writeSync(this.file, bytes, offset)
    this.writtenBytes += bytes.length
    this.segmentBytes.set(this.segment, this.writtenBytes)
  }

  private syncNow (batch: Batch): void {
    const startedAtMs = performance.now()
    fdatasyncSync(this.file)
    this.lastSyncMs = performance.now() - startedAtMs
    batch.resolve(batch.place!)
  }

  private syncInThread (batch: Batch): void {
    const startedAtMs = performance.now()
    this.inSync = batch
    fdatasync(this.file, error => {
      // The disk was closed meanwhile, which has synced the batch.
      if (this.inSync !== batch) return
      this.inSync = null
      this.lastSyncMs = performance.now() - startedAtMs
      if (error !== null) return this.failAll(error, batch)
      batch.resolve(batch.place!)
      this.writePending()
    })
  }

  /// After a failed sync, a later one may succeed without the data of the first one.
  private failAll (error: Error, batch: Batch): void {
    const { pending } = this
    this.pending = null
    this.fail(error, batch, pending)
  }

  /// Rejects the batches, if they aren't synced yet.
  private fail (error: Error, ...batches: readonly (Batch | null)[]): void {
    this.log.event(Events.diskFailed, { error: formatError(error) })
    for (const batch of batches) batch?.reject(error)
  }

  /// Goes on with the current segment if there can't be another one now, for instance without a free descriptor.
  private tryNextSegment (): void {
    try {
      this.startSegment()
    } catch (error) {
      this.log.event(Events.diskFailed, { of: 'next segment', error: formatError(error) })
    }
  }

  private startSegment (): void {
    const number = this.highestNumber + 1
    if (!Number.isSafeInteger(number)) throw new Error(`no segment can follow ${formatSegmentName(this.highestNumber)}`)
    const file = createSegment(this.folder, number)
    if (this.file !== noFile) closeSync(this.file)
    this.file = file
    this.highestNumber = number
    this.segment = number
    this.writtenBytes = 0
    this.segmentBytes.set(number, 0)
  }

  /// Throws if a segment can't be read: it is not an empty one.
  private readSegments (entries: readonly Dirent[], reader: SegmentReader): void {
    const segments = this.findSegments(entries)
    for (const segment of segments) {
      const { validBytes, bytes, strayFrames } = reader.read(join(this.folder, formatSegmentName(segment)), segment)
      this.segmentBytes.set(segment, bytes)
      if (strayFrames > 0) {
        this.log.event(Events.diskEntryIgnored, { segment, strayFrames, reason: 'frames that hold no record' })
      }
      if (validBytes < bytes) this.log.event(Events.diskTailDropped, { segment, validBytes, bytes })
    }
    // The process that wrote it may have been killed before its last sync. Earlier starts have synced those before it.
    const latest = segments[segments.length - 1]
    if (latest !== undefined) syncSegment(this.folder, latest)
  }

  private findSegments (entries: readonly Dirent[]): number[] {
    const segments: number[] = []
    for (const entry of entries) {
      const number = parseSegmentName(entry.name)
      if (number === null) continue
      this.highestNumber = Math.max(this.highestNumber, number)
      if (entry.isFile() || entry.isSymbolicLink()) segments.push(number)
      else this.log.event(Events.diskEntryIgnored, { name: entry.name, reason: 'not a file' })
    }
    return segments.sort((a, b) => a - b)
  }
}
