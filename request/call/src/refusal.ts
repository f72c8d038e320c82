import { Verdict } from './verdict.js'

/// Why the system ends a call without passing on a complete response. The value is the error code that callers
/// receive.
export const Refusal = {
  invalid: 'invalid',
  bodyTooLarge: 'body-too-large',
  promptTooLong: 'prompt-too-long',
  noRoute: 'no-route',
  unauthorized: 'unauthorized',
  noConfiguration: 'no-configuration',
  unknownTurn: 'unknown-turn',
  budgetSpent: 'budget-spent',
  overQuota: 'over-quota',
  quotaUnknown: 'quota-unknown',
  ledgerUnavailable: 'ledger-unavailable',
  noInstance: 'no-instance',
  overloaded: 'overloaded',
  busy: 'busy',
  upstreamFailed: 'upstream-failed',
  timedOut: 'timed-out',
  notStored: 'not-kept',
  stopping: 'stopping',
  internal: 'internal'
} as const

export type Refusal = typeof Refusal[keyof typeof Refusal]

/// Thrown to end a call with an error response of the system's own.
export class RefusedError extends Error {
  override readonly name = 'RefusedError'

  constructor (
    readonly refusal: Refusal,
    readonly verdict: Verdict,
    message: string,
    /// How long the caller should wait before a retry; 0 if unknown.
    readonly retryAfterMs = 0
  ) {
    super(message)
  }

  /// HTTP status of the error response. Statuses that promise that the request did not run
  /// are used only with the verdict `notRun`.
  get status (): number {
    return this.verdict === Verdict.notRun ? notRunStatus[this.refusal] : mayHaveRunStatus[this.refusal] ?? 502
  }
}

const notRunStatus: Readonly<Record<Refusal, number>> = {
  invalid: 400,
  'body-too-large': 413,
  'prompt-too-long': 413,
  'no-route': 404,
  unauthorized: 401,
  'no-configuration': 503,
  'unknown-turn': 404,
  'budget-spent': 402,
  'over-quota': 429,
  'quota-unknown': 503,
  'ledger-unavailable': 503,
  'no-instance': 503,
  overloaded: 503,
  busy: 503,
  'upstream-failed': 503,
  'timed-out': 503,
  'not-kept': 503,
  stopping: 503,
  internal: 503
}

/// For the verdicts `mayHaveRun` and `ran`. The status of all other refusals is 502.
const mayHaveRunStatus: Partial<Record<Refusal, number>> = { 'timed-out': 504 }
