import type { LedgerRecord } from '#connection/rpc'
import { PromptMeter, TokenReservation, assertRoom, confirmChain, getHeldTurnId, holdChain, mayBeDropped, readHistory } from '#request/turn'
import type { OnChainPart, ReservationLimits, ReservedAccount } from '#request/turn'
import { Events } from '#process/log'
import type { ForwardContext, RoutedCall } from './context.js'

/// Share of its remaining time for which a turn waits for storage before its instance gets it.
const maxStorageWaitShare = 0.5
/// Share of its remaining time for which a turn waits for the memory of a long history.
const maxMemoryWaitShare = 0.5

/// What storage has confirmed before a turn is sent.
interface PreparedTurn {
  /// Oldest turn first; empty for the first turn.
  readonly history: readonly LedgerRecord[]
  /// Null without a budget.
  readonly reservation: TokenReservation | null
}

/// What a turn has reserved at storage.
interface Reserved {
  readonly reservation: TokenReservation | null
  /// Null without a budget for a turn that goes on from none.
  readonly account: ReservedAccount | null
}

/// Reads the history, and concurrently reserves tokens from the budget and has storage keep the history. Rejects with
/// `RefusedError`.
export async function prepareTurn (
  routed: RoutedCall, maxTokens: number, context: ForwardContext
): Promise<PreparedTurn> {
  const { route, signal } = routed
  const workspace = routed.workspace?.name ?? null
  const remainingMs = routed.lastDeadlineMs - performance.now()
  const timeoutMs = remainingMs * maxStorageWaitShare
  // The history isn't needed if the reservation is refused.
  const refused = new AbortController()
  const inputBytes = route.keepsHistory ? routed.body.length : 0
  const limits = { maxTokens, workspace, timeoutMs, remainingMs, inputBytes, signal }
  const reserving = reserveTurn(routed, limits, context)
  reserving.catch((error: unknown) => refused.abort(error))
  const [history, reserved] = await Promise.allSettled([
    route.keepsHistory ? readTurnHistory(routed, timeoutMs, refused.signal, context) : [],
    reserving
  ])
  if (history.status === 'rejected') {
    if (reserved.status === 'fulfilled') reserved.value.reservation?.settle(0)
    throw history.reason
  }
  if (reserved.status === 'rejected') throw reserved.reason
  const { reservation } = reserved.value
  try {
    await confirmTurn(routed, history.value, reserved.value, timeoutMs, context)
  } catch (error) {
    reservation?.settle(0)
    throw error
  }
  return { history: history.value, reservation }
}

/// Whether the turn is the first one of its program, as far as it is known.
export function isFirst ({ history, reservation }: PreparedTurn): boolean {
  return history.length === 0 && reservation?.hasOtherTurns !== true
}

async function reserveTurn (
  { call, route }: RoutedCall, limits: ReservationLimits, { ledger, log }: ForwardContext
): Promise<Reserved> {
  const reservation = await TokenReservation.acquire(call, route, limits, ledger, log)
  if (reservation !== null) return { reservation, account: reservation.account }
  const hasChain = getHeldTurnId(call, route) !== ''
  return { reservation, account: hasChain ? await holdChain(call, route, limits, ledger) : null }
}

function readTurnHistory (
  routed: RoutedCall, timeoutMs: number, refused: AbortSignal, context: ForwardContext
): Promise<readonly LedgerRecord[]> {
  const { call, hasWorkspaces } = routed
  const access = { workspace: routed.workspace?.name ?? null, isRestricted: hasWorkspaces }
  const meter = new PromptMeter(routed.body, bytes => takeHistory(bytes, routed, refused, context))
  const onPart: OnChainPart = (turns, earlierBytes) => meter.addTurns(turns, earlierBytes)
  return readHistory(call, access, context, timeoutMs, onPart)
}

/// Takes the memory for the history of a turn. One that comes back after a refusal has the place of its first try.
/// Rejects with the reason of `refused` if that is aborted.
async function takeHistory (
  bytes: number,
  { call, memory, lastDeadlineMs, signal }: RoutedCall,
  refused: AbortSignal,
  { waitingTurns }: ForwardContext
): Promise<void> {
  const sinceMs = waitingTurns.take(call.previousTurnId) ?? call.receivedAtMs
  const timeoutMs = (lastDeadlineMs - performance.now()) * maxMemoryWaitShare
  try {
    await memory.addHistory(bytes, { sinceMs, timeoutMs, signals: [signal, refused] })
  } catch (error) {
    waitingTurns.add(call.previousTurnId, sinceMs)
    throw refused.aborted ? refused.reason : error
  }
}

/// Makes sure that storage has room for the turn, and that it keeps the history until the turn's retention has passed.
async function confirmTurn (
  { call, route }: RoutedCall,
  history: readonly LedgerRecord[],
  { reservation, account }: Reserved,
  timeoutMs: number,
  { ledger, cache, log }: ForwardContext
): Promise<void> {
  if (!route.keepsHistory) return
  assertRoom(ledger, isFirst({ history, reservation }))
  const previous = history[history.length - 1]
  if (previous === undefined || account === null || !mayBeDropped(history, cache)) return
  try {
    await confirmChain(previous.id, account, ledger, timeoutMs)
  } catch (error) {
    const ageMs = Date.now() - previous.recordedAtMs
    log.event(Events.chainUnconfirmed, { callId: call.id, turnId: previous.id, ageMs })
    throw error
  }
}
