import { Room } from '#connection/rpc'
import type { AccountEntry, LedgerRecord } from '#connection/rpc'
import { Refusal, RefusedError, Verdict } from '#request/call'
import { formatError } from '#process/log'

/// An operation of the ledger failed. Its records may be stored all the same, unless they were never sent.
export class LedgerError extends Error {
  constructor (message: string, readonly wasSent = true) {
    super(message)
  }
}

/// The ledger operations that turns need; `LedgerQuorum` implements them. They reject with `LedgerError`
/// if too few storage instances reply in time.
export interface TurnLedger {
  /// After which time the caller of a turn that was refused for a rejection should come back.
  readonly retryAfterMs: number
  /// What storage has room for, by its latest replies.
  readonly room: Room
  /// Resolves once the records are committed.
  append (records: readonly LedgerRecord[], timeoutMs: number): Promise<Commit>
  /// Appends the record a little later, together with others, and resolves once it is committed.
  appendSoon (record: LedgerRecord): Promise<void>
  /// Resolves, once the reservation is committed, to the account of its program. It isn't sent any more once the signal
  /// is aborted.
  reserve (reservation: LedgerRecord, timeoutMs: number, signal?: AbortSignal): Promise<ReservedAccount>
  /// Resolves to all reservations and settlements that were stored before the read began.
  readAccount (programId: string, timeoutMs: number): Promise<AccountEntry[]>
  /// Resolves to the turn's chain, oldest first; null if the turn is certainly not stored. `onPart` is called with each
  /// part of it that is read; if it throws or rejects, no more is read, and the error is passed on. The timeout doesn't
  /// count while `onPart` waits.
  findChain (turnId: string, timeoutMs: number, onPart?: OnChainPart): Promise<LedgerRecord[] | null>
}

/// Called with turns of a chain, the latest ones first, and with the length of the inputs and outputs of the earlier
/// ones that are not read yet, as far as it is known. The next part is read once it has resolved.
export type OnChainPart = (turns: readonly LedgerRecord[], earlierBytes: number) => void | Promise<void>

/// Where records were committed.
export interface Commit {
  /// The disks that had acknowledged them by then.
  readonly diskIds: readonly string[]
  readonly viewVersion: number
}

/// The account of a program, as read together with the append of a reservation.
export interface ReservedAccount {
  /// All reservations and settlements that were stored before the append began.
  readonly entries: readonly AccountEntry[]
  /// Waits up to `maxWaitMs` for the replies of the other members. Resolves to what all members report, or to null if
  /// one has not replied by then. Of several reservations with such an account, the one that a member stored last sees
  /// all others.
  readComplete (maxWaitMs: number): Promise<readonly AccountEntry[] | null>
  /// Waits up to `maxWaitMs` for the replies of the other members. Resolves to whether so many members have all of the
  /// chain that the reservation names that it will be kept as long as the reservation.
  confirmChain (maxWaitMs: number): Promise<boolean>
}

/// Refuses a turn because an operation of the ledger was rejected with `error`.
export function createLedgerRefusal ({ retryAfterMs }: TurnLedger, error: unknown): RefusedError {
  return new RefusedError(Refusal.ledgerUnavailable, Verdict.notRun, formatError(error), retryAfterMs)
}

/// Throws `RefusedError` if storage has no room for what a turn will store.
export function assertRoom ({ room, retryAfterMs }: TurnLedger, isFirstTurn: boolean): void {
  if (room === Room.all || (room === Room.continuing && !isFirstTurn)) return
  const turns = room === Room.continuing ? 'first turns' : 'turns'
  throw new RefusedError(Refusal.busy, Verdict.notRun, `storage has no room for ${turns}`, retryAfterMs)
}

/// The most tokens that a record can count.
const maxRecordTokens = 2 ** 32 - 1

/// Returns a record's token count. Parts of a token count as a whole one.
export function toRecordTokens (tokens: number): number {
  return Math.min(Math.ceil(tokens), maxRecordTokens)
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
