import { closeSync, fstatSync, openSync, readSync } from 'node:fs'
import { BinaryReader } from '@bufbuild/protobuf/wire'
import { LedgerRecord, RecordKind } from '#connection/rpc'
import { toAccountRecord } from './accounts.js'
import { getEmptySettlementExpiryMs, getOwnExpiryMs } from './expiry.js'
import { scanFrames } from './frames.js'

/// A record and the number of the segment that holds it.
export interface SegmentRecord {
  readonly record: LedgerRecord
  readonly segment: number
}

/// What was found in a segment.
interface ReadSegment {
  readonly bytes: number
  /// The size of the frames before the first torn or corrupt one.
  readonly validBytes: number
  /// Whole frames that hold something else than a record.
  readonly strayFrames: number
}

/// Where the message of a record is stored.
interface Place {
  readonly path: string
  readonly segment: number
  readonly offset: number
  readonly bytes: number
}

const noBytes = new Uint8Array()

/// Leaves out the contents of fields of bytes.
class HeadReader extends BinaryReader {
  override bytes (): Uint8Array<ArrayBuffer> {
    this.skip(lengthDelimited)
    return noBytes
  }
}

const lengthDelimited = 2

/// Reads segments, from the oldest one to the newest, into as little memory as the records need that are still in use:
/// those that have not expired, the earlier turns of their chains, and what the accounts of their programs need.
export class SegmentReader {
  private buffer = Buffer.alloc(0)
  private readonly current: SegmentRecord[] = []
  /// By their id.
  private readonly expiredTurns = new Map<string, Place>()
  /// Paths, by number, of the segments with expired records.
  private readonly pathsWithExpired = new Map<number, string>()
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
    let strayFrames = 0
    const validBytes = scanFrames(contents, (body, offset) => {
      try {
        this.add(body, { path, segment, offset, bytes: body.length })
      } catch {
        strayFrames++
      }
    })
    return { validBytes, bytes: contents.length, strayFrames }
  }

  /// Throws if the bytes are no record.
  private add (body: Buffer, place: Place): void {
    const head = decodeHead(body)
    if (getOwnExpiryMs(head) > this.nowMs) {
      this.current.push({ record: LedgerRecord.decode(body), segment: place.segment })
    } else {
      if (head.kind === RecordKind.turn) this.expiredTurns.set(head.id, place)
      this.pathsWithExpired.set(place.segment, place.path)
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
    for (const [segment, path] of this.pathsWithExpired) {
      scanFrames(this.load(path), body => {
        const head = tryDecodeHead(body)
        if (head === null || !programIds.has(head.programId)) return
        if (head.kind !== RecordKind.reservation) settledIds.add(head.id)
        if (this.isNeededByAccount(head)) records.push({ record: toAccountRecord(head), segment })
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
        const turn = readRecord(place)
        earlier.push({ record: turn, segment: place.segment })
        id = turn.previousId
      }
    }
    return earlier.reverse()
  }

  /// Returns the contents of a file until the next one is loaded.
  private load (path: string): Buffer {
    const file = openSync(path, 'r')
    try {
      const { size } = fstatSync(file)
      if (this.buffer.length < size) this.buffer = Buffer.allocUnsafeSlow(size)
      return this.buffer.subarray(0, readFully(file, this.buffer.subarray(0, size), 0))
    } finally {
      closeSync(file)
    }
  }
}

/// Throws if the bytes are no record.
function decodeHead (body: Buffer): LedgerRecord {
  return LedgerRecord.decode(new HeadReader(body))
}

function tryDecodeHead (body: Buffer): LedgerRecord | null {
  try {
    return decodeHead(body)
  } catch {
    return null
  }
}

function readRecord ({ path, offset, bytes }: Place): LedgerRecord {
  const file = openSync(path, 'r')
  try {
    const body = Buffer.allocUnsafeSlow(bytes)
    readFully(file, body, offset)
    return LedgerRecord.decode(body)
  } finally {
    closeSync(file)
  }
}

/// Returns how many bytes there were, at most as many as `target` holds.
function readFully (file: number, target: Buffer, position: number): number {
  let filled = 0
  while (filled < target.length) {
    const count = readSync(file, target, filled, target.length - filled, position + filled)
    if (count === 0) break
    filled += count
  }
  return filled
}
