import { closeSync, fstatSync, openSync } from 'node:fs'
import { BinaryReader } from '@bufbuild/protobuf/wire'
import { LedgerRecord, RecordKind } from '#connection/rpc'
import { toAccountRecord } from './accounts.js'
import { withoutContents } from './contents.js'
import { getEmptySettlementExpiryMs, getOwnExpiryMs } from './expiry.js'
import { frameHeaderBytes, scanFrames } from './frames.js'
import { readFully } from './recordreader.js'
import type { RecordPlace } from './recordreader.js'

/// A record, and where it is on the disk.
export interface SegmentRecord {
  /// Without its input and output.
  readonly record: LedgerRecord
  readonly place: RecordPlace
  /// How long its input and output are together.
  readonly contentBytes: number
}

/// What was found in a segment.
interface ReadSegment {
  readonly bytes: number
  /// The size of the frames before the first torn or corrupt one.
  readonly validBytes: number
  /// Whole frames that hold something else than a record.
  readonly strayFrames: number
}

const noBytes = new Uint8Array()
/// Files are read into a buffer whose size is a multiple of this.
const bufferStepBytes = 4 * 1024 * 1024

/// Leaves out the contents of fields of bytes, and adds up their length.
class HeadReader extends BinaryReader {
  contentBytes = 0

  override bytes (): Uint8Array<ArrayBuffer> {
    const length = this.uint32()
    if (this.pos + length > this.len) throw new RangeError('the message ends within a field')
    this.contentBytes += length
    this.pos += length
    return noBytes
  }
}

/// Reads segments, from the oldest one to the newest, into as little memory as the records need that are still in use:
/// those that have not expired, the earlier turns of their chains, and what the accounts of their programs need.
export class SegmentReader {
  private buffer = Buffer.alloc(0)
  private readonly current: SegmentRecord[] = []
  /// By their id.
  private readonly expiredTurns = new Map<string, RecordPlace>()
  /// Paths, by number, of the segments.
  private readonly paths = new Map<number, string>()
  /// The segments with expired records.
  private readonly segmentsWithExpired = new Set<number>()
  private count = 0

  /// Records expire by the wall clock.
  constructor (private readonly nowMs: number) {}

  /// How many records were read, also those that have expired.
  get recordCount (): number {
    return this.count
  }

  /// Reads the records before the first torn or corrupt frame.
  read (path: string, segment: number): ReadSegment {
    const contents = this.load(path)
    this.paths.set(segment, path)
    let strayFrames = 0
    const validBytes = scanFrames(contents, (body, offset) => {
      try {
        this.add(body, { segment, offset, bytes: frameHeaderBytes + body.length })
      } catch {
        strayFrames++
      }
    })
    return { validBytes, bytes: contents.length, strayFrames }
  }

  /// Throws if the bytes are no record.
  private add (body: Buffer, place: RecordPlace): void {
    const head = decodeHead(body, place)
    const { record } = head
    if (getOwnExpiryMs(record) > this.nowMs) {
      this.current.push(head)
    } else {
      if (record.kind === RecordKind.turn) this.expiredTurns.set(record.id, place)
      this.segmentsWithExpired.add(place.segment)
    }
    this.count++
  }

  /// The records that are still in use.
  takeRecords (): SegmentRecord[] {
    return [...this.readEarlierTurns(), ...this.current, ...this.readAccountRecords()]
  }

  /// Reads the segments once more, so that what has expired takes memory only if an account needs it. What was spent in
  /// turns that no chain needs is returned as their settlements.
  private readAccountRecords (): SegmentRecord[] {
    const programIds = new Set(this.current.map(({ record }) => record.programId))
    programIds.delete('')
    if (programIds.size === 0) return []
    const records: SegmentRecord[] = []
    const settledIds = new Set<string>()
    for (const segment of this.segmentsWithExpired) {
      scanFrames(this.load(this.paths.get(segment)!), (body, offset) => {
        const place = { segment, offset, bytes: frameHeaderBytes + body.length }
        const head = tryDecodeHead(body, place)?.record
        if (head === undefined || !programIds.has(head.programId)) return
        if (head.kind !== RecordKind.reservation) settledIds.add(head.id)
        if (this.isNeededByAccount(head)) records.push({ record: toAccountRecord(head), place, contentBytes: 0 })
      })
    }
    return records.filter(({ record }) => record.kind !== RecordKind.reservation || !settledIds.has(record.id))
  }

  /// Whether a record is one that has expired, and that its account needs unless it is a settled reservation.
  private isNeededByAccount (record: LedgerRecord): boolean {
    if (getOwnExpiryMs(record) > this.nowMs) return false
    if (record.kind === RecordKind.reservation) return true
    if (record.kind === RecordKind.turn && !this.expiredTurns.has(record.id)) return false
    return record.tokens > 0 || getEmptySettlementExpiryMs(record) > this.nowMs
  }

  /// Oldest first in each chain.
  private readEarlierTurns (): SegmentRecord[] {
    const earlier: SegmentRecord[] = []
    for (const { record } of this.current) {
      for (let id = record.previousId; ;) {
        const place = this.expiredTurns.get(id)
        if (place === undefined) break
        this.expiredTurns.delete(id)
        const turn = this.readHead(place)
        earlier.push(turn)
        id = turn.record.previousId
      }
    }
    return earlier.reverse()
  }

  private readHead (place: RecordPlace): SegmentRecord {
    const file = openSync(this.paths.get(place.segment)!, 'r')
    try {
      const body = Buffer.allocUnsafeSlow(place.bytes - frameHeaderBytes)
      readFully(file, body, place.offset + frameHeaderBytes)
      return decodeHead(body, place)
    } finally {
      closeSync(file)
    }
  }

  /// Returns the contents of a file until the next one is loaded.
  private load (path: string): Buffer {
    const file = openSync(path, 'r')
    try {
      const { size } = fstatSync(file)
      if (this.buffer.length < size) {
        this.buffer = Buffer.allocUnsafeSlow(Math.ceil(size / bufferStepBytes) * bufferStepBytes)
      }
      return this.buffer.subarray(0, readFully(file, this.buffer.subarray(0, size), 0))
    } finally {
      closeSync(file)
    }
  }
}

/// Throws if the bytes are no record.
function decodeHead (body: Buffer, place: RecordPlace): SegmentRecord {
  const reader = new HeadReader(body)
  const record = withoutContents(LedgerRecord.decode(reader))
  return { record, place, contentBytes: reader.contentBytes }
}

function tryDecodeHead (body: Buffer, place: RecordPlace): SegmentRecord | null {
  try {
    return decodeHead(body, place)
  } catch {
    return null
  }
}
