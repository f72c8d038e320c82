import { RecordKind } from '#connection/rpc'
import { Refusal, RefusedError, Verdict } from '#request/call'
import type { Call } from '#request/call'
import type { Route } from '#version/configuration'
import { createLedgerRefusal, createRecord } from './ledger.js'
import type { ReservedAccount, TurnLedger } from './ledger.js'

/// How long a reservation waits for the last members to say whether they hold the chain.
const maxStragglerWaitMs = 200
/// Members that lack a chain copy it from those that hold it.
const unconfirmedRetryAfterMs = 1000

/// How long the record of a call that ends in `remainingMs` at the latest is retained, so that `retentionMs` counts
/// from the end of its response.
export function getRetentionMs (retentionMs: number, remainingMs: number): number {
  return Math.min(Number.MAX_SAFE_INTEGER, retentionMs + Math.max(0, Math.ceil(remainingMs)))
}

/// The turn whose chain a call holds; '' if it doesn't go on from one.
export function getHeldTurnId (call: Call, route: Route): string {
  return route.keepsHistory ? call.previousTurnId ?? '' : ''
}

/// What the hold of a chain may take.
export interface HoldLimits {
  /// How long storage is waited for.
  readonly timeoutMs: number
  /// Until the call ends at the latest.
  readonly remainingMs: number
  /// Of the call.
  readonly inputBytes: number
  readonly signal?: AbortSignal
}

/// Has storage keep the chain that a call goes on from until the retention of the call's own turn has passed, for calls
/// without a token reservation, which does the same. Resolves once that is committed; rejects with `RefusedError`.
export async function holdChain (
  call: Call, route: Route, { timeoutMs, remainingMs, inputBytes, signal }: HoldLimits, ledger: TurnLedger
): Promise<ReservedAccount> {
  const retentionMs = getRetentionMs(route.retentionMs, remainingMs)
  const record = createRecord(RecordKind.reservation, call.id, '', retentionMs)
  try {
    return await ledger.reserve({ ...record, previousId: getHeldTurnId(call, route), inputBytes }, timeoutMs, signal)
  } catch (error) {
    throw createLedgerRefusal(ledger, error)
  }
}

/// Makes sure that storage keeps a chain which it may drop soon, or may have dropped. Rejects with `RefusedError`:
/// `unknownTurn` only if the turn is certainly not stored.
export async function confirmChain (
  turnId: string, account: ReservedAccount, ledger: TurnLedger, timeoutMs: number
): Promise<void> {
  if (await account.confirmChain(Math.min(timeoutMs, maxStragglerWaitMs))) return
  if (!await isStored(turnId, ledger, timeoutMs)) throw createUnknownTurnError(turnId)
  const message = `too few storage instances hold the chain of turn ${turnId}`
  throw new RefusedError(Refusal.ledgerUnavailable, Verdict.notRun, message, unconfirmedRetryAfterMs)
}

/// The same for an absent turn, for one of another workspace and for one whose retention has passed, so that it doesn't
/// tell whether the turn exists.
export function createUnknownTurnError (turnId: string): RefusedError {
  return new RefusedError(Refusal.unknownTurn, Verdict.notRun, `previous turn ${turnId} is not stored`)
}

/// Ends the read of a chain.
class TurnFoundError extends Error {}

/// Rejects with `RefusedError` if that is not certain.
async function isStored (turnId: string, ledger: TurnLedger, timeoutMs: number): Promise<boolean> {
  try {
    return await ledger.findChain(turnId, timeoutMs, () => { throw new TurnFoundError() }) !== null
  } catch (error) {
    if (error instanceof TurnFoundError) return true
    throw createLedgerRefusal(ledger, error)
  }
}
