import { RecordKind } from '#connection/rpc'
import type { AccountEntry, LedgerRecord } from '#connection/rpc'
import { getContentBytes, withoutContents } from './contents.js'
import { getOwnExpiryMs } from './expiry.js'

interface Account {
  /// By the id of their call.
  readonly entries: Map<string, AccountEntry>
  /// The latest expiry of the records that were added.
  expiresAtMs: number
}

/// The accounts of programs. An account lasts until the retention of the program's last record has passed.
export class AccountIndex {
  private readonly accounts = new Map<string, Account>()

  /// Records without a program belong to no account.
  add (record: LedgerRecord): void {
    const { id, programId } = record
    if (programId === '') return
    let account = this.accounts.get(programId)
    if (account === undefined) this.accounts.set(programId, account = { entries: new Map(), expiresAtMs: 0 })
    account.entries.set(id, mergeAccountEntries(account.entries.get(id), createAccountEntry(record)))
    account.expiresAtMs = Math.max(account.expiresAtMs, getOwnExpiryMs(record))
  }

  get (programId: string): AccountEntry[] {
    return [...this.accounts.get(programId)?.entries.values() ?? []]
  }

  /// Whether the program may still return.
  isOpen (programId: string, nowMs: number): boolean {
    return (this.accounts.get(programId)?.expiresAtMs ?? 0) > nowMs
  }

  isSettled ({ programId, id }: LedgerRecord): boolean {
    return this.accounts.get(programId)?.entries.get(id)?.settled ?? false
  }

  /// Removes the entry of a call. The account goes with its last entry.
  remove ({ programId, id }: LedgerRecord): void {
    const account = this.accounts.get(programId)
    account?.entries.delete(id)
    if (account?.entries.size === 0) this.accounts.delete(programId)
  }
}

/// What an account needs of a record: a settlement in place of a turn, without the turn's bytes.
export function toAccountRecord (record: LedgerRecord): LedgerRecord {
  const isAccountRecord = record.kind !== RecordKind.turn && record.previousId === '' && getContentBytes(record) === 0
  if (isAccountRecord) return record
  const kind = record.kind === RecordKind.turn ? RecordKind.settlement : record.kind
  return { ...withoutContents(record), kind, previousId: '', instanceId: '', workspace: undefined }
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
