import { randomBytes } from 'node:crypto'
import {
  closeSync, fdatasyncSync, fsyncSync, mkdirSync, openSync, readFileSync, readdirSync, renameSync, unlinkSync, writeSync
} from 'node:fs'
import { join } from 'node:path'
import { crc32 } from 'node:zlib'
import { LedgerRecord } from '#connection/rpc'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'

/// What a disk held when it was opened.
export interface DiskContents {
  readonly records: readonly { readonly record: LedgerRecord, readonly segment: number }[]
  /// The disk held neither records nor an identity.
  readonly wasEmpty: boolean
}

const identityFile = 'identity'
const segmentPattern = /^segment-(\d{8})$/
const frameBytes = 8
const maxRecordBytes = 64 * 1024 * 1024
const segmentBytes = 8 * 1024 * 1024

/// An append-only log of records in numbered segments. A record is framed with
/// its length and checksum, so that a torn tail is found. Appends of one turn of
/// the loop share one write and one sync; the loop waits for the disk, which
/// costs less than a hand-over to other threads.
export class Disk {
  private segment = 0
  private file = noFile
  private writtenBytes = 0
  private segments: number[] = []
  private pending: Batch | null = null

  private constructor (private readonly folder: string, readonly diskId: string, private readonly log: EventLog) {}

  static open (folder: string, log: EventLog): { disk: Disk, contents: DiskContents } {
    mkdirSync(folder, { recursive: true })
    const names = readdirSync(folder)
    const known = names.includes(identityFile) ? readIdentity(folder) : null
    const disk = new Disk(folder, known ?? writeIdentity(folder), log)
    const records = disk.readSegments(names)
    disk.startSegment()
    const { diskId, segments } = disk
    log.event(Events.diskOpened, {
      diskId,
      records: records.length,
      segments: segments.length - 1,
      isNew: known === null
    })
    return { disk, contents: { records, wasEmpty: known === null && records.length === 0 } }
  }

  get segmentCount (): number {
    return this.segments.length
  }

  get oldestSegment (): number {
    return this.segments[0]!
  }

  /// Resolves to the segment that holds the records once they are synced.
  append (records: readonly LedgerRecord[]): Promise<number> {
    if (this.pending === null) {
      this.pending = newBatch()
      setImmediate(() => this.writePending())
    }
    for (const record of records) this.pending.frames.push(...encodeFrame(record))
    return this.pending.synced
  }

  /// Removes a segment whose records are held elsewhere or no longer needed.
  dropSegment (segment: number): void {
    this.segments = this.segments.filter(other => other !== segment)
    unlinkSync(join(this.folder, segmentName(segment)))
    this.log.event(Events.segmentDropped, { segment })
  }

  close (): void {
    this.writePending()
    if (this.file !== noFile) closeSync(this.file)
    this.file = noFile
  }

  private writePending (): void {
    const batch = this.pending
    if (batch === null) return
    this.pending = null
    try {
      batch.resolve(this.write(batch.frames))
    } catch (error) {
      this.log.event(Events.diskFailed, { error: formatError(error) })
      batch.reject(error as Error)
    }
  }

  private write (frames: readonly Buffer[]): number {
    if (this.writtenBytes > segmentBytes) this.startSegment()
    const bytes = Buffer.concat(frames)
    for (let at = 0; at < bytes.length;) at += writeSync(this.file, bytes, at)
    fdatasyncSync(this.file)
    this.writtenBytes += bytes.length
    return this.segment
  }

  private startSegment (): void {
    if (this.file !== noFile) closeSync(this.file)
    const number = Math.max(this.segment, ...this.segments, 0) + 1
    this.file = openSync(join(this.folder, segmentName(number)), 'wx')
    fsyncSync(this.file)
    syncFolder(this.folder)
    this.segment = number
    this.writtenBytes = 0
    this.segments.push(number)
  }

  private readSegments (names: readonly string[]): { record: LedgerRecord, segment: number }[] {
    const found: { record: LedgerRecord, segment: number }[] = []
    this.segments = names.flatMap(name => segmentPattern.exec(name)?.[1] ?? []).map(Number).sort((a, b) => a - b)
    for (const segment of this.segments) {
      const bytes = readFileSync(join(this.folder, segmentName(segment)))
      const { records, validBytes } = decodeFrames(bytes)
      for (const record of records) found.push({ record, segment })
      if (validBytes < bytes.length) {
        this.log.event(Events.diskTailDropped, { segment, validBytes, bytes: bytes.length })
      }
    }
    return found
  }
}

const noFile = -1

interface Batch {
  readonly frames: Buffer[]
  readonly synced: Promise<number>
  readonly resolve: (segment: number) => void
  readonly reject: (error: Error) => void
}

function newBatch (): Batch {
  let resolve: Batch['resolve'] = () => {}
  let reject: Batch['reject'] = () => {}
  const synced = new Promise<number>((_resolve, _reject) => {
    resolve = _resolve
    reject = _reject
  })
  return { frames: [], synced, resolve, reject }
}

/// A record's bytes on disk: length and checksum, then the record.
export function encodeFrame (record: LedgerRecord): [Buffer, Buffer] {
  const body = Buffer.from(LedgerRecord.encode(record).finish())
  const head = Buffer.allocUnsafe(frameBytes)
  head.writeUInt32LE(body.length, 0)
  head.writeUInt32LE(crc32(body), 4)
  return [head, body]
}

/// Reads records up to the first frame that is torn.
export function decodeFrames (bytes: Buffer): { records: LedgerRecord[], validBytes: number } {
  const records: LedgerRecord[] = []
  let at = 0
  while (at + frameBytes <= bytes.length) {
    const length = bytes.readUInt32LE(at)
    const end = at + frameBytes + length
    if (length === 0 || length > maxRecordBytes || end > bytes.length) break
    const body = bytes.subarray(at + frameBytes, end)
    if (crc32(body) !== bytes.readUInt32LE(at + 4)) break
    records.push(LedgerRecord.decode(body))
    at = end
  }
  return { records, validBytes: at }
}

function segmentName (number: number): string {
  return `segment-${String(number).padStart(8, '0')}`
}

function readIdentity (folder: string): string | null {
  const text = readFileSync(join(folder, identityFile), 'utf8')
  return /^[0-9a-f]{24}$/.test(text) ? text : null
}

function writeIdentity (folder: string): string {
  const diskId = randomBytes(12).toString('hex')
  const path = join(folder, identityFile)
  const file = openSync(`${path}.new`, 'w')
  writeSync(file, diskId)
  fsyncSync(file)
  closeSync(file)
  renameSync(`${path}.new`, path)
  syncFolder(folder)
  return diskId
}

function syncFolder (folder: string): void {
  const handle = openSync(folder, 'r')
  try {
    fsyncSync(handle)
  } finally {
    closeSync(handle)
  }
}
