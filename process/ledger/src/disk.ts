import { randomBytes } from 'node:crypto'
import { mkdir, open, readFile, readdir, rename, unlink } from 'node:fs/promises'
import type { FileHandle } from 'node:fs/promises'
import { join } from 'node:path'
import { crc32 } from 'node:zlib'
import { LedgerRecord } from '#connection/rpc'
import { Events, messageOf } from '#process/log'
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
/// its length and checksum, so that a torn tail is found. Appends that arrive
/// while a sync runs share the next one.
export class Disk {
  private segment = 0
  private file: FileHandle | null = null
  private writtenBytes = 0
  private segments: number[] = []
  private pending: Batch | null = null
  private isWriting = false

  private constructor (private readonly folder: string, readonly diskId: string, private readonly log: EventLog) {}

  static async open (folder: string, log: EventLog): Promise<{ disk: Disk, contents: DiskContents }> {
    await mkdir(folder, { recursive: true })
    const names = await readdir(folder)
    const known = names.includes(identityFile) ? await readIdentity(folder) : null
    const diskId = known ?? await writeIdentity(folder)
    const disk = new Disk(folder, diskId, log)
    const records = await disk.readSegments(names)
    await disk.startSegment()
    log.event(Events.diskOpened, {
      diskId,
      records: records.length,
      segments: disk.segments.length - 1,
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
    this.pending ??= newBatch()
    const batch = this.pending
    for (const record of records) batch.frames.push(...frame(record))
    if (!this.isWriting) this.writePending()
    return batch.synced
  }

  /// Removes a segment whose records are held elsewhere or no longer needed.
  async dropSegment (segment: number): Promise<void> {
    this.segments = this.segments.filter(other => other !== segment)
    await unlink(join(this.folder, segmentName(segment)))
    this.log.event(Events.segmentDropped, { segment })
  }

  async close (): Promise<void> {
    await this.pending?.synced
    await this.file?.close()
    this.file = null
  }

  private writePending (): void {
    const batch = this.pending
    if (batch === null) return
    this.pending = null
    this.isWriting = true
    this.write(batch.frames).then(batch.resolve, (error: unknown) => {
      this.log.event(Events.diskFailed, { error: messageOf(error) })
      batch.reject(error as Error)
    }).finally(() => {
      this.isWriting = false
      this.writePending()
    })
  }

  private async write (frames: readonly Buffer[]): Promise<number> {
    if (this.file === null || this.writtenBytes > segmentBytes) await this.startSegment()
    const bytes = Buffer.concat(frames)
    try {
      await writeWhole(this.file!, bytes)
      await this.file!.datasync()
    } catch (error) {
      // What such a segment holds past its last sync isn't known; later records go to a new one.
      await this.file?.close().catch(() => {})
      this.file = null
      throw error
    }
    this.writtenBytes += bytes.length
    return this.segment
  }

  private async startSegment (): Promise<void> {
    await this.file?.close()
    this.file = null
    const number = Math.max(this.segment, ...this.segments, 0) + 1
    const file = await open(join(this.folder, segmentName(number)), 'wx')
    await file.sync()
    await syncFolder(this.folder)
    this.file = file
    this.segment = number
    this.writtenBytes = 0
    this.segments.push(number)
  }

  private async readSegments (names: readonly string[]): Promise<{ record: LedgerRecord, segment: number }[]> {
    const found: { record: LedgerRecord, segment: number }[] = []
    this.segments = names.flatMap(name => segmentPattern.exec(name)?.[1] ?? []).map(Number).sort((a, b) => a - b)
    for (const segment of this.segments) {
      const bytes = await readFile(join(this.folder, segmentName(segment)))
      const { records, validBytes } = parseFrames(bytes)
      for (const record of records) found.push({ record, segment })
      if (validBytes < bytes.length) {
        this.log.event(Events.diskTailDropped, { segment, validBytes, bytes: bytes.length })
      }
    }
    return found
  }
}

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
export function frame (record: LedgerRecord): [Buffer, Buffer] {
  const body = Buffer.from(LedgerRecord.encode(record).finish())
  const head = Buffer.allocUnsafe(frameBytes)
  head.writeUInt32LE(body.length, 0)
  head.writeUInt32LE(crc32(body), 4)
  return [head, body]
}

/// Reads records up to the first frame that is torn.
export function parseFrames (bytes: Buffer): { records: LedgerRecord[], validBytes: number } {
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

async function writeWhole (file: FileHandle, bytes: Buffer): Promise<void> {
  let at = 0
  while (at < bytes.length) at += (await file.write(bytes, at)).bytesWritten
}

async function readIdentity (folder: string): Promise<string | null> {
  const text = await readFile(join(folder, identityFile), 'utf8')
  return /^[0-9a-f]{24}$/.test(text) ? text : null
}

async function writeIdentity (folder: string): Promise<string> {
  const diskId = randomBytes(12).toString('hex')
  const path = join(folder, identityFile)
  const file = await open(`${path}.new`, 'w')
  await file.writeFile(diskId)
  await file.sync()
  await file.close()
  await rename(`${path}.new`, path)
  await syncFolder(folder)
  return diskId
}

async function syncFolder (folder: string): Promise<void> {
  const handle = await open(folder, 'r')
  try {
    await handle.sync()
  } finally {
    await handle.close()
  }
}
