import { RecordKind } from '#connection/rpc'
import type { LedgerRecord } from '#connection/rpc'
import { RefusedError } from '#request/call'
import type { Call } from '#request/call'
import type { Route } from '#version/configuration'
import { Events } from '#process/log'
import type { EventLog } from '#process/log'
import { createAccountId, mayRead } from './access.js'
import type { TurnAccess } from './access.js'
import type { ChainCache } from './chaincache.js'
import { createLedgerRefusal, createRecord, toRecordTokens } from './ledger.js'
import type { OnChainPart, TurnLedger } from './ledger.js'
import { createUnknownTurnError, getRetentionMs } from './retention.js'

/// Where turns are stored and cached.
export interface HistoryContext {
  readonly ledger: TurnLedger
  readonly cache: ChainCache
  readonly log: EventLog
}

/// Reads the history of a call, oldest turn first; empty for the first turn. Waits up to `timeoutMs` for storage.
/// Rejects with `RefusedError`: `unknownTurn` only if the previous turn is certainly not stored, or if it or one before
/// it belongs to another workspace. `onPart` is called with each part of the history that is read, and may reject with
/// `RefusedError` to end this.
export async function readHistory (
  call: Call,
  access: TurnAccess,
  { ledger, cache, log }: HistoryContext,
  timeoutMs: number,
  onPart: OnChainPart = () => {}
): Promise<readonly LedgerRecord[]> {
  const { previousTurnId } = call
  if (previousTurnId === null) return []
  const assertReadable = (turns: readonly LedgerRecord[]): void => {
    const foreign = turns.find(turn => !mayRead(turn, access))
    if (foreign === undefined) return
    const { workspace } = access
    log.event(Events.turnForeign, { callId: call.id, turnId: foreign.id, workspace, owner: foreign.workspace })
    throw createUnknownTurnError(previousTurnId)
  }
  // A refusal for the length would tell that the previous turn exists, so it must have been read before.
  const accept: OnChainPart = async (turns, earlierBytes) => {
    if (turns.length === 0 && access.isRestricted) return
    assertReadable(turns)
    await onPart(turns, earlierBytes)
  }
  const cached = cache.getChain(previousTurnId)
  if (cached !== null) await accept(cached, 0)
  const chain = cached ?? await findChain(previousTurnId, ledger, timeoutMs, accept)
  for (const turn of chain) cache.add(turn)
  assertReadable(chain)
  return chain
}

/// Whether the retention of a call's previous turn, the last of `history`, has passed, so that storage may drop it.
export function mayBeDropped (history: readonly LedgerRecord[], cache: ChainCache): boolean {
  const previous = history[history.length - 1]
  if (previous === undefined) return false
  // The clock of the machine that recorded it may differ, and that of this one may have been set.
  const ageMs = Math.max(Date.now() - previous.recordedAtMs, cache.getAgeMs(previous.id))
  return ageMs > previous.retentionMs
}

async function findChain (
  turnId: string, ledger: TurnLedger, timeoutMs: number, onPart: OnChainPart
): Promise<readonly LedgerRecord[]> {
  let chain: LedgerRecord[] | null
  try {
    chain = await ledger.findChain(turnId, timeoutMs, onPart)
  } catch (error) {
    throw error instanceof RefusedError ? error : createLedgerRefusal(ledger, error)
  }
  if (chain === null) throw createUnknownTurnError(turnId)
  return chain
}

/// What a turn's record holds beside the call.
export interface CompletedTurn {
  readonly input: Buffer
  readonly output: Buffer
  readonly tokens: number
  readonly instanceId: string
  /// Until its response ends at the latest.
  readonly remainingMs: number
}

export function createTurnRecord (
  call: Call, route: Route, workspace: string | null, turn: CompletedTurn
): LedgerRecord {
  const { input, output, tokens, instanceId, remainingMs } = turn
  const accountId = call.program === null ? '' : createAccountId(call.program.id, workspace)
  return {
    ...createRecord(RecordKind.turn, call.id, accountId, getRetentionMs(route.retentionMs, remainingMs)),
    workspace: workspace ?? undefined,
    previousId: call.previousTurnId ?? '',
    input,
    output,
    tokens: toRecordTokens(tokens),
    instanceId
  }
}
