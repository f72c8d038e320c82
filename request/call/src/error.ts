import { Verdict, parseVerdict } from './verdict.js'

/// What callers and operators see of an error. `retryAfterMs` is 0 when no
/// time is known after which the request could succeed.
export interface CallErrorOptions {
  readonly verdict?: Verdict
  readonly retryAfterMs?: number
  readonly cause?: unknown
}

interface CodeTraits {
  readonly httpStatus: number
}

/// The stable error codes and the HTTP status that each one is sent with.
export const ErrorCode = {
  badRequest: 'bad-request',
  badJson: 'bad-json',
  bodyTooLarge: 'body-too-large',
  unauthorized: 'unauthorized',
  forbidden: 'forbidden',
  unknownProgram: 'unknown-program',
  unknownCall: 'unknown-call',
  unknownTarget: 'unknown-target',
  programEnded: 'program-ended',
  outOfOrder: 'out-of-order',
  nameReused: 'name-reused',
  historyMismatch: 'history-mismatch',
  budgetExceeded: 'budget-exceeded',
  turnLimit: 'turn-limit',
  timeLimit: 'time-limit',
  overloaded: 'overloaded',
  draining: 'draining',
  notOwner: 'not-owner',
  staleEpoch: 'stale-epoch',
  staleIncarnation: 'stale-incarnation',
  abandoned: 'abandoned',
  noUpstream: 'no-upstream',
  upstreamRejected: 'upstream-rejected',
  upstreamFailed: 'upstream-failed',
  upstreamTimeout: 'upstream-timeout',
  storeUnavailable: 'store-unavailable',
  connectionLost: 'connection-lost',
  conflict: 'conflict',
  invalidAnswers: 'invalid-answers',
  closing: 'closing',
  internal: 'internal'
} as const

export type ErrorCode = typeof ErrorCode[keyof typeof ErrorCode]

const traits: Readonly<Record<ErrorCode, CodeTraits>> = {
  'bad-request': { httpStatus: 400 },
  'bad-json': { httpStatus: 400 },
  'body-too-large': { httpStatus: 413 },
  unauthorized: { httpStatus: 401 },
  forbidden: { httpStatus: 403 },
  'unknown-program': { httpStatus: 404 },
  'unknown-call': { httpStatus: 404 },
  'unknown-target': { httpStatus: 404 },
  'program-ended': { httpStatus: 409 },
  'out-of-order': { httpStatus: 409 },
  'name-reused': { httpStatus: 409 },
  'history-mismatch': { httpStatus: 409 },
  'budget-exceeded': { httpStatus: 402 },
  'turn-limit': { httpStatus: 409 },
  'time-limit': { httpStatus: 409 },
  overloaded: { httpStatus: 429 },
  draining: { httpStatus: 503 },
  'not-owner': { httpStatus: 503 },
  'stale-epoch': { httpStatus: 503 },
  'stale-incarnation': { httpStatus: 503 },
  abandoned: { httpStatus: 503 },
  'no-upstream': { httpStatus: 503 },
  'upstream-rejected': { httpStatus: 422 },
  'upstream-failed': { httpStatus: 502 },
  'upstream-timeout': { httpStatus: 504 },
  'store-unavailable': { httpStatus: 503 },
  'connection-lost': { httpStatus: 502 },
  conflict: { httpStatus: 409 },
  'invalid-answers': { httpStatus: 422 },
  closing: { httpStatus: 503 },
  internal: { httpStatus: 500 }
}

/// An error that a caller is told: a stable code, a sentence, and whether the
/// request may have run.
export class CallError extends Error {
  override readonly name = 'CallError'
  readonly verdict: Verdict
  readonly retryAfterMs: number

  constructor (readonly code: ErrorCode, message: string, options: CallErrorOptions = {}) {
    super(message, { cause: options.cause })
    this.verdict = options.verdict ?? Verdict.notRun
    this.retryAfterMs = options.retryAfterMs ?? 0
  }

  get httpStatus (): number {
    return traits[this.code].httpStatus
  }

  /// Reads an error from a refusal on the wire. An unknown code reads as `internal`.
  static of (refusal: RefusalFields): CallError {
    const code = refusal.code in traits ? refusal.code as ErrorCode : ErrorCode.internal
    const { retryAfterMs } = refusal
    return new CallError(code, refusal.message, { verdict: parseVerdict(refusal.verdict), retryAfterMs })
  }

  /// The error as it crosses the wire.
  toRefusal (): RefusalFields {
    return { verdict: this.verdict, code: this.code, message: this.message, retryAfterMs: this.retryAfterMs }
  }
}

/// The wire's form of an error, the fields of the generated `Refusal`.
export interface RefusalFields {
  verdict: string
  code: string
  message: string
  retryAfterMs: number
}

/// Turns anything thrown into a `CallError`. What is not one already becomes
/// `internal` with the verdict given.
export function toCallError (error: unknown, verdict: Verdict): CallError {
  if (error instanceof CallError) return error
  const message = error instanceof Error ? error.message : String(error)
  return new CallError(ErrorCode.internal, message, { verdict, cause: error })
}
