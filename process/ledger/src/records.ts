import { RecordKind } from '#connection/rpc'
import type { AccountEntry, LedgerRecord } from '#connection/rpc'
import { AccountIndex, toAccountRecord } from './accounts.js'
import { getContentBytes, withoutContents } from './contents.js'
import { getEmptySettlementExpiryMs, getOwnExpiryMs } from './expiry.js'
import type { RecordPlace } from './recordreader.js'

/// A record with its expiry and its place on disk.
export interface IndexedRecord {
  /// Without its input and output once it is on the disk. Replaced by what the account needs of it once nothing else
  /// needs it. The disk may still hold all of it then.
  record: LedgerRecord
  /// How long its input and output are together.
  contentBytes: number
  /// The end of the record's own retention, or of that of a later turn in its chain if this is later, or of that of the
  /// reservation of a turn that goes on from it.
  expiresAtMs: number
  /// Null until it has been written.
  place: RecordPlace | null
}

type TakesTurn = (messageBytes: number, bytesBefore: number) => boolean

/// The latest turns of a chain.
export interface ChainPart {
  /// Oldest first; without the inputs and outputs that are on the disk.
  readonly records: LedgerRecord[]
  /// Whether these are all turns of the chain.
  readonly isComplete: boolean
  /// Of the inputs and outputs of the earlier turns that are present.
  readonly earlierBytes: number
  /// The earlier turn that is absent; null for none.
  readonly lackingId: string | null
}

/// The records of one storage instance, indexed by key and by program, and listed
/// in the order of their arrival. What is on the disk is indexed without inputs and
/// outputs. Times are wall-clock milliseconds.
export class RecordIndex {
  private readonly byKey = new Map<string, IndexedRecord>()
  private readonly accounts = new AccountIndex()
  /// Expiry times, by key, of turns that are absent here but that later turns of their chain need, or reservations for
  /// these.
  private readonly absentTurnExpiryMs = new Map<string, number>()
  private arrivalKeys: string[] = []
  /// Cursor of the first element of `arrivalKeys`.
  private firstArrivalCursor = 0

  get count (): number {
    return this.byKey.size
  }

  has (record: LedgerRecord): boolean {
    return this.byKey.has(recordKey(record))
  }

  get (key: string): IndexedRecord | undefined {
    return this.byKey.get(key)
  }

  /// Adds a record and returns its index entry, or null if it is already present. One that is on the disk comes without
  /// its input and output, with their length.
  add (
    record: LedgerRecord, place: RecordPlace | null = null, contentBytes = getContentBytes(record)
  ): IndexedRecord | null {
    const key = recordKey(record)
    if (this.byKey.has(key)) return null
    const expiresAtMs = Math.max(getOwnExpiryMs(record), this.absentTurnExpiryMs.get(key) ?? 0)
    const indexed = { record, contentBytes, expiresAtMs, place }
    this.absentTurnExpiryMs.delete(key)
    this.byKey.set(key, indexed)
    this.arrivalKeys.push(key)
    this.accounts.add(record)
    this.extendRetention(record.previousId, expiresAtMs)
    return indexed
  }

  /// The latest turns of a turn's chain, or null if the turn is absent. `takes` is asked for one after the other, the
  /// latest first, whether it belongs to them, given the message bytes of the turns before.
  getChain (turnId: string, takes: TakesTurn = () => true): ChainPart | null {
    const records: LedgerRecord[] = []
    let bytes = 0
    let earlierCount = 0
    let earlierBytes = 0
    let lackingId: string | null = null
    for (let id = turnId; id !== '' && lackingId === null;) {
      const turn = this.byKey.get(turnKey(id))
      if (turn === undefined) {
        if (id === turnId) return null
        lackingId = id
      } else if (earlierCount === 0 && takes(getMessageBytes(turn), bytes)) {
        records.push(turn.record)
        bytes += getMessageBytes(turn)
      } else {
        earlierCount++
        earlierBytes += turn.contentBytes
      }
      id = turn?.record.previousId ?? ''
    }
    return { records: records.reverse(), isComplete: earlierCount === 0 && lackingId === null, earlierBytes, lackingId }
  }

  getAccount (programId: string): AccountEntry[] {
    return this.accounts.get(programId)
  }

  /// Lists up to `limit` keys in the order of arrival, starting at a cursor.
  listKeys (cursor: number, limit: number): { keys: string[], nextCursor: number, isEnd: boolean } {
    const start = Math.max(cursor - this.firstArrivalCursor, 0)
    const keys = this.arrivalKeys.slice(start, start + limit)
    const end = start + keys.length
    return { keys, nextCursor: end + this.firstArrivalCursor, isEnd: end >= this.arrivalKeys.length }
  }

  /// Removes expired records and returns their number. Records that outlive their own retention, as later turns or the
  /// account of their program need them, move to the end of the arrival order.
  expire (nowMs: number): number {
    let removed = 0
    let scanned = 0
    const keptKeys: string[] = []
    for (const key of this.arrivalKeys) {
      const indexed = this.byKey.get(key)!
      if (getOwnExpiryMs(indexed.record) > nowMs) break
      scanned++
      const keptKey = this.keep(key, indexed, nowMs)
      if (keptKey !== null) {
        keptKeys.push(keptKey)
        continue
      }
      this.remove(key, indexed.record)
      removed++
    }
    for (const [key, expiryMs] of this.absentTurnExpiryMs) if (expiryMs <= nowMs) this.absentTurnExpiryMs.delete(key)
    if (scanned > 0) {
      this.arrivalKeys = this.arrivalKeys.slice(scanned).concat(keptKeys)
      this.firstArrivalCursor += scanned
    }
    return removed
  }

  /// Records that were written: they are at `place`, and take no more memory than the index needs.
  setPlace (indexed: IndexedRecord, place: RecordPlace): void {
    indexed.place = place
    if (indexed.contentBytes > 0) indexed.record = withoutContents(indexed.record)
  }

  /// How many bytes of each segment are records that are still in use.
  measureSegments (): ReadonlyMap<number, number> {
    const usedBytes = new Map<number, number>()
    for (const indexed of this.byKey.values()) {
      if (indexed.place === null) continue
      const { segment, bytes } = indexed.place
      usedBytes.set(segment, (usedBytes.get(segment) ?? 0) + Math.min(bytes, getMessageBytes(indexed)))
    }
    return usedBytes
  }

  * recordsInSegment (segment: number): Generator<IndexedRecord> {
    for (const indexed of this.byKey.values()) if (indexed.place?.segment === segment) yield indexed
  }

  /// Returns the key under which a record outlives its own retention, or null if nothing needs it.
  private keep (key: string, indexed: IndexedRecord, nowMs: number): string | null {
    const { record, expiresAtMs } = indexed
    if (expiresAtMs > nowMs) return key
    if (!this.accounts.isOpen(record.programId, nowMs)) return null
    if (record.kind === RecordKind.turn) return this.replaceTurn(key, indexed, nowMs)
    if (!this.isNeededByAccount(record, nowMs)) return null
    replaceRecord(indexed, toAccountRecord(record))
    return key
  }

  /// Puts a settlement in the place of a turn. Returns its key, or null if it isn't needed or is there already.
  private replaceTurn (key: string, indexed: IndexedRecord, nowMs: number): string | null {
    const settlement = toAccountRecord(indexed.record)
    const settlementKey = recordKey(settlement)
    if (this.byKey.has(settlementKey) || !this.isNeededByAccount(settlement, nowMs)) return null
    this.byKey.delete(key)
    replaceRecord(indexed, settlement)
    this.byKey.set(settlementKey, indexed)
    return settlementKey
  }

  private isNeededByAccount (record: LedgerRecord, nowMs: number): boolean {
    if (record.kind === RecordKind.reservation) return !this.accounts.isSettled(record)
    if (record.tokens > 0 || getEmptySettlementExpiryMs(record) > nowMs) return true
    return this.byKey.has(`${RecordKind.reservation}/${record.id}`)
  }

  /// Keeps the previous turns of a chain at least as long as a later turn, or the reservation for one.
  private extendRetention (previousId: string, expiresAtMs: number): void {
    for (let id = previousId; id !== '';) {
      const indexed = this.byKey.get(turnKey(id))
      if (indexed === undefined) {
        const key = turnKey(id)
        this.absentTurnExpiryMs.set(key, Math.max(expiresAtMs, this.absentTurnExpiryMs.get(key) ?? 0))
        return
      }
      if (indexed.expiresAtMs >= expiresAtMs) return
      indexed.expiresAtMs = expiresAtMs
      id = indexed.record.previousId
    }
  }

  private remove (key: string, record: LedgerRecord): void {
    this.byKey.delete(key)
    const hasOthers = [RecordKind.reservation, RecordKind.settlement, RecordKind.turn]
      .some(kind => this.byKey.has(`${kind}/${record.id}`))
    if (!hasOthers) this.accounts.remove(record)
  }
}

function replaceRecord (indexed: IndexedRecord, record: LedgerRecord): void {
  indexed.record = record
  indexed.contentBytes = 0
}

/// Of a record's fields other than its strings and bytes, encoded.
const fixedMessageBytes = 64

/// About how long a record is as a message.
export function getMessageBytes ({ record, contentBytes }: Pick<IndexedRecord, 'record' | 'contentBytes'>): number {
  const { id, programId, previousId, instanceId, workspace = '' } = record
  const textLength = id.length + programId.length + previousId.length + instanceId.length + workspace.length
  return fixedMessageBytes + textLength + contentBytes
}

export function recordKey (record: LedgerRecord): string {
  return `${record.kind}/${record.id}`
}

export function turnKey (id: string): string {
  return `${RecordKind.turn}/${id}`
}
