import { RecordKind } from '#connection/rpc'
import type { LedgerRecord } from '#connection/rpc'
import { Refusal, RefusedError, Verdict } from '#request/call'
import type { Call } from '#request/call'
import type { Route } from '#version/configuration'
import { Events } from '#process/log'
import type { EventLog } from '#process/log'
import { createAccountId, mayRead } from './access.js'
import type { TurnAccess } from './access.js'
import type { ChainCache } from './chaincache.js'
import { createLedgerRefusal, createRecord } from './ledger.js'
import type { TurnLedger } from './ledger.js'

/// Where turns are stored and cached.
export interface HistoryContext {
  readonly ledger: TurnLedger
  readonly cache: ChainCache
  readonly log: EventLog
}

/// Reads the history of a call, oldest turn first; empty for the first turn. Waits up to `timeoutMs` for storage.
/// Rejects with `RefusedError`: `unknownTurn` only if the previous turn is certainly not stored, or if it or one before
/// it belongs to another workspace.
export async function readHistory (
  call: Call,
  access: TurnAccess,
  { ledger, cache, log }: HistoryContext,
  timeoutMs: number
): Promise<readonly LedgerRecord[]> {
  if (call.previousTurnId === null) return []
  const chain = cache.getChain(call.previousTurnId) ?? await findChain(call.previousTurnId, ledger, timeoutMs)
  for (const turn of chain) cache.add(turn)
  const foreign = chain.find(turn => !mayRead(turn, access))
  if (foreign === undefined) return chain
  const { workspace } = access
  log.event(Events.turnForeign, { callId: call.id, turnId: foreign.id, workspace, owner: foreign.workspace })
  throw createUnknownTurnError(call.previousTurnId)
}

async function findChain (turnId: string, ledger: TurnLedger, timeoutMs: number): Promise<readonly LedgerRecord[]> {
  let chain: LedgerRecord[] | null
  try {
    chain = await ledger.findChain(turnId, timeoutMs)
  } catch (error) {
    throw createLedgerRefusal(ledger, error)
  }
  if (chain === null) throw createUnknownTurnError(turnId)
  return chain
}

/// The same for an absent turn and for one of another workspace, so that it doesn't tell whether the turn exists.
function createUnknownTurnError (turnId: string): RefusedError {
  return new RefusedError(Refusal.unknownTurn, Verdict.notRun, `previous turn ${turnId} is not stored`)
}

/// Builds the prompt for an instance: inputs and outputs of the previous turns, then the new input.
export function buildPrompt (history: readonly LedgerRecord[], input: Buffer): Buffer {
  if (history.length === 0) return input
  return Buffer.concat([...history.flatMap(turn => [turn.input, turn.output]), input])
}

/// The length of the prompt that `buildPrompt` returns.
export function getPromptLength (history: readonly LedgerRecord[], input: Buffer): number {
  return history.reduce((sum, turn) => sum + turn.input.length + turn.output.length, input.length)
}

export function createTurnRecord (
  call: Call,
  route: Route,
  workspace: string | null,
  input: Buffer,
  output: Buffer,
  tokens: number,
  instanceId: string
): LedgerRecord {
  const accountId = call.program === null ? '' : createAccountId(call.program.id, workspace)
  return {
    ...createRecord(RecordKind.turn, call.id, accountId, route.retentionMs),
    workspace: workspace ?? undefined,
    previousId: call.previousTurnId ?? '',
    input,
    output,
    tokens,
    instanceId
  }
}
