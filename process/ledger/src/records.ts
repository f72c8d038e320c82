import { RecordKind } from '#connection/rpc'
import type { AccountEntry, LedgerRecord } from '#connection/rpc'

/// A record that is held, and until when.
export interface HeldRecord {
  readonly record: LedgerRecord
  keepUntilMs: number
  /// The disk segment that holds it, -1 while it is in none.
  segment: number
}

// Clocks of instances differ, and a turn counts from the end of its answer.
const retentionSlackMs = 15_000

/// The records of one storage instance, indexed by key, turn and program, and
/// listed in the order of their arrival. Times are wall-clock milliseconds.
export class RecordIndex {
  private readonly byKey = new Map<string, HeldRecord>()
  private readonly accounts = new Map<string, Map<string, AccountEntry>>()
  /// Until when turns that aren't held yet are needed by later ones that are.
  private readonly neededUntilMs = new Map<string, number>()
  private arrivals: string[] = []
  private arrivalBase = 0

  get count (): number {
    return this.byKey.size
  }

  get (key: string): HeldRecord | undefined {
    return this.byKey.get(key)
  }

  /// Adds a record and returns it, or null where it is held already.
  add (record: LedgerRecord, segment = -1): HeldRecord | null {
    const key = recordKey(record)
    if (this.byKey.has(key)) return null
    const ownUntilMs = record.recordedAtMs + record.retentionMs + retentionSlackMs
    const held = { record, segment, keepUntilMs: Math.max(ownUntilMs, this.neededUntilMs.get(key) ?? 0) }
    this.neededUntilMs.delete(key)
    this.byKey.set(key, held)
    this.arrivals.push(key)
    this.enterAccount(record)
    if (record.kind === RecordKind.turn) this.extendChain(record.previousId, held.keepUntilMs)
    return held
  }

  /// A turn's chain, oldest first; null where the turn isn't known, and not
  /// whole where an earlier turn is missing.
  chainOf (turnId: string): { records: LedgerRecord[], isWhole: boolean } | null {
    const records: LedgerRecord[] = []
    for (let id = turnId; id !== '';) {
      const held = this.byKey.get(turnKey(id))
      if (held === undefined) return records.length === 0 ? null : { records: records.reverse(), isWhole: false }
      records.push(held.record)
      id = held.record.previousId
    }
    return { records: records.reverse(), isWhole: true }
  }

  accountOf (programId: string): AccountEntry[] {
    return [...this.accounts.get(programId)?.values() ?? []]
  }

  /// Keys in the order of arrival, from a cursor on.
  digest (cursor: number, limit: number): { keys: string[], next: number, isEnd: boolean } {
    const start = Math.max(cursor - this.arrivalBase, 0)
    const keys = this.arrivals.slice(start, start + limit)
    const next = start + keys.length
    return { keys, next: next + this.arrivalBase, isEnd: next >= this.arrivals.length }
  }

  /// Forgets what has been kept long enough, and returns how many records that were.
  expire (nowMs: number): number {
    let dropped = 0
    let passed = 0
    const kept: string[] = []
    for (const key of this.arrivals) {
      const held = this.byKey.get(key)!
      if (held.record.recordedAtMs + held.record.retentionMs + retentionSlackMs > nowMs) break
      passed++
      if (held.keepUntilMs > nowMs) {
        kept.push(key)
        continue
      }
      this.forget(key, held.record)
      dropped++
    }
    for (const [key, untilMs] of this.neededUntilMs) if (untilMs <= nowMs) this.neededUntilMs.delete(key)
    if (passed > 0) {
      this.arrivals = this.arrivals.slice(passed).concat(kept)
      this.arrivalBase += passed
    }
    return dropped
  }

  * inSegment (segment: number): Generator<HeldRecord> {
    for (const held of this.byKey.values()) if (held.segment === segment) yield held
  }

  private enterAccount (record: LedgerRecord): void {
    if (record.programId === '') return
    let account = this.accounts.get(record.programId)
    if (account === undefined) this.accounts.set(record.programId, account = new Map())
    account.set(record.id, mergeAccountEntries(account.get(record.id), entryOf(record)))
  }

  private extendChain (previousId: string, untilMs: number): void {
    for (let id = previousId; id !== '';) {
      const held = this.byKey.get(turnKey(id))
      if (held === undefined) {
        const key = turnKey(id)
        this.neededUntilMs.set(key, Math.max(untilMs, this.neededUntilMs.get(key) ?? 0))
        return
      }
      if (held.keepUntilMs >= untilMs) return
      held.keepUntilMs = untilMs
      id = held.record.previousId
    }
  }

  private forget (key: string, record: LedgerRecord): void {
    this.byKey.delete(key)
    const account = this.accounts.get(record.programId)
    if (account === undefined) return
    const hasOthers = [RecordKind.reservation, RecordKind.settlement, RecordKind.turn]
      .some(kind => this.byKey.has(`${kind}/${record.id}`))
    if (!hasOthers) account.delete(record.id)
    if (account.size === 0) this.accounts.delete(record.programId)
  }
}

export function recordKey (record: LedgerRecord): string {
  return `${record.kind}/${record.id}`
}

function turnKey (id: string): string {
  return `${RecordKind.turn}/${id}`
}

function entryOf (record: LedgerRecord): AccountEntry {
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

/// Joins what two sources know of one reservation.
export function mergeAccountEntries (a: AccountEntry | undefined, b: AccountEntry): AccountEntry {
  if (a === undefined) return b
  return {
    id: b.id,
    reserved: Math.max(a.reserved, b.reserved),
    spent: Math.max(a.spent, b.spent),
    settled: a.settled || b.settled
  }
}
