import type { AccountEntry, LedgerRecord } from '#connection/rpc'

/// What turns need of the storage instances; `LedgerQuorum` offers it.
export interface TurnLedger {
  append (records: readonly LedgerRecord[], timeoutMs: number): Promise<void>
  reserve (reservation: LedgerRecord, timeoutMs: number): Promise<AccountEntry[]>
  /// All that was reserved and settled before the call.
  readAccount (programId: string, timeoutMs: number): Promise<AccountEntry[]>
  findChain (turnId: string, timeoutMs: number): Promise<LedgerRecord[] | null>
}

/// A record without what only some kinds have.
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
