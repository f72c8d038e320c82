import type { ResponseFields } from '#connection/header'
import type { Call } from '#request/call'

const statusMisdirected = 421

const always = (): boolean => true
const hasPreviousTurn = ({ previousTurnId }: Call): boolean => previousTurnId !== null

/// For which calls a status tells the caller that its request has not run and never will.
const promisesByStatus: Readonly<Record<number, (call: Call) => boolean>> = {
  /// The program's token budget is spent.
  402: ({ program }) => (program?.tokenBudget ?? null) !== null,
  /// The previous turn is not stored.
  404: hasPreviousTurn,
  408: always,
  410: hasPreviousTurn,
  [statusMisdirected]: always,
  429: always,
  503: always
}

/// Whether a response with this status promises the caller that the call did not run.
export function isPromise (status: number, call: Call): boolean {
  return promisesByStatus[status]?.(call) ?? false
}

/// Whether an instance guarantees that it did not run the call. One that isn't the expected instance says so by its
/// status alone; it does no work for the call, and so doesn't sign the response.
export function isRefusal (status: number, { isNotRun, isSigned }: ResponseFields): boolean {
  return isNotRun || (status === statusMisdirected && !isSigned)
}
