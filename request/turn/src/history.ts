import { RecordKind } from '#connection/rpc'
import type { LedgerRecord } from '#connection/rpc'
import { Refusal, RefusedError, Verdict } from '#request/call'
import type { Call } from '#request/call'
import type { Route } from '#version/configuration'
import type { ChainCache } from './chaincache.js'
import { createLedgerRefusal, createRecord } from './ledger.js'
import type { TurnLedger } from './ledger.js'

/// Reads the history of a call, oldest turn first; empty for the first turn. Waits up to `timeoutMs` for storage.
/// Rejects with `RefusedError`: `unknownTurn` only if the previous turn is certainly not stored.
export async function readHistory (
  call: Call,
  ledger: TurnLedger,
  cache: ChainCache,
  timeoutMs: number
): Promise<readonly LedgerRecord[]> {
  if (call.previousTurnId === null) return []
  const cached = cache.getChain(call.previousTurnId)
  if (cached !== null) return cached
  const chain = await findChain(call.previousTurnId, ledger, timeoutMs)
  for (const turn of chain) cache.add(turn)
  return chain
}

async function findChain (turnId: string, ledger: TurnLedger, timeoutMs: number): Promise<readonly LedgerRecord[]> {
  let chain: LedgerRecord[] | null
  try {
    chain = await ledger.findChain(turnId, timeoutMs)
  } catch (error) {
    throw createLedgerRefusal(ledger, error)
  }
  if (chain === null) throw new RefusedError(Refusal.unknownTurn, Verdict.notRun, `previous turn ${turnId} is not stored`)
  return chain
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
  input: Buffer,
  output: Buffer,
  tokens: number,
  instanceId: string
): LedgerRecord {
  return {
    ...createRecord(RecordKind.turn, call.id, call.program?.id ?? '', route.retentionMs),
    previousId: call.previousTurnId ?? '',
    input,
    output,
    tokens,
    instanceId
  }
}
