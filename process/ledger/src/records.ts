import { RecordKind } from '#connection/rpc'
import type { AccountEntry, LedgerRecord } from '#connection/rpc'

/// A record with its expiry and its place on disk.
export interface IndexedRecord {
  readonly record: LedgerRecord
  /// The end of the record's own retention, or of that of a later turn in its chain if this is later.
  expiresAtMs: number
  /// The disk segment that holds the record, -1 until it has been written to one.
  segment: number
}

/// Allows for clocks that differ between instances, and for retention that starts at the end of a turn's response.
const retentionMarginMs = 15_000

/// The records of one storage instance, indexed by key and by program, and listed
/// in the order of their arrival. Times are wall-clock milliseconds.
export class RecordIndex {
  private readonly byKey = new Map<string, IndexedRecord>()
  private readonly accounts = new Map<string, Map<string, AccountEntry>>()
  /// Expiry times, by key, of turns that are absent here but that later turns of their chain need.
  private readonly absentTurnExpiryMs = new Map<string, number>()
  private arrivalKeys: string[] = []
  /// Cursor of the first element of `arrivalKeys`.
  private firstArrivalCursor = 0

  get count (): number {
    return this.byKey.size
  }

  get (key: string): IndexedRecord | undefined {
    return this.byKey.get(key)
  }

  /// Adds a record and returns its index entry, or null if it is already present.
  add (record: LedgerRecord, segment = -1): IndexedRecord | null {
    const key = recordKey(record)
    if (this.byKey.has(key)) return null
    const expiresAtMs = Math.max(getOwnExpiryMs(record), this.absentTurnExpiryMs.get(key) ?? 0)
    const indexed = { record, segment, expiresAtMs }
    this.absentTurnExpiryMs.delete(key)
    this.byKey.set(key, indexed)
    this.arrivalKeys.push(key)
    this.addToAccount(record)
    if (record.kind === RecordKind.turn) this.extendRetention(record.previousId, expiresAtMs)
    return indexed
  }

  /// A turn's chain, oldest first, or null if the turn is absent. The chain is
  /// incomplete if a previous turn is absent.
  getChain (turnId: string): { records: LedgerRecord[], isComplete: boolean } | null {
    const records: LedgerRecord[] = []
    for (let id = turnId; id !== '';) {
      const indexed = this.byKey.get(turnKey(id))
      if (indexed === undefined) return records.length === 0 ? null : { records: records.reverse(), isComplete: false }
      records.push(indexed.record)
      id = indexed.record.previousId
    }
    return { records: records.reverse(), isComplete: true }
  }

  getAccount (programId: string): AccountEntry[] {
    return [...this.accounts.get(programId)?.values() ?? []]
  }

  /// Lists up to `limit` keys in the order of arrival, starting at a cursor.
  listKeys (cursor: number, limit: number): { keys: string[], nextCursor: number, isEnd: boolean } {
    const start = Math.max(cursor - this.firstArrivalCursor, 0)
    const keys = this.arrivalKeys.slice(start, start + limit)
    const end = start + keys.length
    return { keys, nextCursor: end + this.firstArrivalCursor, isEnd: end >= this.arrivalKeys.length }
  }

  /// Removes expired records and returns their number. Records that outlive their
  /// own retention, as later turns need them, move to the end of the arrival order.
  expire (nowMs: number): number {
    let removed = 0
    let scanned = 0
    const keptKeys: string[] = []
    for (const key of this.arrivalKeys) {
      const indexed = this.byKey.get(key)!
      if (getOwnExpiryMs(indexed.record) > nowMs) break
      scanned++
      if (indexed.expiresAtMs > nowMs) {
        keptKeys.push(key)
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

  * recordsInSegment (segment: number): Generator<IndexedRecord> {
    for (const indexed of this.byKey.values()) if (indexed.segment === segment) yield indexed
  }

  private addToAccount (record: LedgerRecord): void {
    if (record.programId === '') return
    let account = this.accounts.get(record.programId)
    if (account === undefined) this.accounts.set(record.programId, account = new Map())
    account.set(record.id, mergeAccountEntries(account.get(record.id), createAccountEntry(record)))
  }

  /// Keeps the previous turns of a chain at least as long as a later turn.
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
    const account = this.accounts.get(record.programId)
    if (account === undefined) return
    const hasOthers = [RecordKind.reservation, RecordKind.settlement, RecordKind.turn]
      .some(kind => this.byKey.has(`${kind}/${record.id}`))
    if (!hasOthers) account.delete(record.id)
    if (account.size === 0) this.accounts.delete(record.programId)
  }
}

/// When a record expires that no other one needs.
export function getOwnExpiryMs ({ recordedAtMs, retentionMs }: LedgerRecord): number {
  return recordedAtMs + retentionMs + retentionMarginMs
}

export function recordKey (record: LedgerRecord): string {
  return `${record.kind}/${record.id}`
}

function turnKey (id: string): string {
  return `${RecordKind.turn}/${id}`
}

/// The records of one call share its id. A turn's record has the delivered tokens,
/// and so settles the call's reservation as a settlement does.
function createAccountEntry (record: LedgerRecord): AccountEntry {
  if (record.kind === RecordKind.reservation) {
    return {
      id: record.id,
      reserved: record.tokens,
      spent: 0,
      settled: false
    }
  }
  return { id: record.id, reserved: 0, spent: record.tokens, settled: true }
}

/// Merges what two sources report of one reservation.
export function mergeAccountEntries (a: AccountEntry | undefined, b: AccountEntry): AccountEntry {
  if (a === undefined) return b
  return {
    id: b.id,
    reserved: Math.max(a.reserved, b.reserved),
    spent: Math.max(a.spent, b.spent),
    settled: a.settled || b.settled
  }
}
