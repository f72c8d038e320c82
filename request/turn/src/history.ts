import { RecordKind } from '#connection/rpc'
import type { LedgerRecord } from '#connection/rpc'
import { Refusal, RefusedError, Verdict } from '#request/call'
import type { Call } from '#request/call'
import type { Route } from '#version/configuration'
import { formatError } from '#process/log'
import type { ChainCache } from './chaincache.js'
import { createRecord } from './ledger.js'
import type { TurnLedger } from './ledger.js'

const findTimeoutMs = 900
const ledgerRetryMs = 250

/// The turns before a call, oldest first; none for the first turn. Rejects with
/// `RefusedError`: "no such turn" only where that is certain.
export async function readHistory (
  call: Call,
  ledger: TurnLedger,
  cache: ChainCache
): Promise<readonly LedgerRecord[]> {
  if (call.previousTurnId === null) return []
  const cached = cache.getChain(call.previousTurnId)
  if (cached !== null) return cached
  const chain = await findChain(call.previousTurnId, ledger)
  for (const turn of chain) cache.add(turn)
  return chain
}

async function findChain (turnId: string, ledger: TurnLedger): Promise<readonly LedgerRecord[]> {
  let chain: LedgerRecord[] | null
  try {
    chain = await ledger.findChain(turnId, findTimeoutMs)
  } catch (error) {
    throw new RefusedError(Refusal.ledgerUnavailable, Verdict.notRun, formatError(error), ledgerRetryMs)
  }
  if (chain === null) throw new RefusedError(Refusal.unknownTurn, Verdict.notRun, `no turn ${turnId} is kept`)
  return chain
}

/// The prompt that an instance gets: inputs and outputs of the turns before, then the new input.
export function buildPrompt (history: readonly LedgerRecord[], input: Buffer): Buffer {
  if (history.length === 0) return input
  return Buffer.concat([...history.flatMap(turn => [turn.input, turn.output]), input])
}

/// The record that keeps a turn.
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
