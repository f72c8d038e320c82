import type { AccountEntry, LedgerRecord } from '#connection/rpc'

/// The ledger operations that turns need; `LedgerQuorum` implements them. They reject if too few
/// storage instances reply in time.
export interface TurnLedger {
  /// Resolves once the records are committed.
  append (records: readonly LedgerRecord[], timeoutMs: number): Promise<void>
  /// Resolves, once the reservation is committed, to the account of its program.
  reserve (reservation: LedgerRecord, timeoutMs: number): Promise<AccountEntry[]>
  /// Resolves to all reservations and settlements that were stored before the read began.
  readAccount (programId: string, timeoutMs: number): Promise<AccountEntry[]>
  /// Resolves to the turn's chain, oldest first; null if the turn is certainly not stored.
  findChain (turnId: string, timeoutMs: number): Promise<LedgerRecord[] | null>
}

/// Creates a record of any kind. Fields that only some kinds use are left empty.
export function createRecord (kind: number, id: string, programId: string, retentionMs: number): LedgerRecord {
  return {
    kind,
    id,
    programId,
    tokens: 0,
    previousId: '',
    input: empty,
    output: empty,
    recordedAtMs: Date.now(),
    retentionMs,
    instanceId: ''
  }
}

const empty = Buffer.alloc(0)
