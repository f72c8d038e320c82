/// One attempt of a caller at a request, as parsed from the request head.
export interface Call {
  /// Unique to this attempt; upstream instances repeat it in the response.
  readonly id: string
  readonly method: string
  /// Path with query, as received.
  readonly path: string
  readonly host: string
  /// Headers to forward, as received: names and values alternating.
  readonly forwardedHeaders: readonly string[]
  /// How long the caller waits for the response, from `receivedAtMs`.
  readonly callerTimeoutMs: number
  /// On the monotonic clock of `performance.now()`.
  readonly receivedAtMs: number
  readonly program: ProgramRef | null
  readonly previousTurnId: string | null
  readonly usage: TokenUsage | null
  /// The parts of the prompt that other prompts may share, in order from its start.
  readonly prefix: readonly PrefixPart[]
  /// The object that the call concerns; null if the caller names none.
  readonly affinityKey: string | null
  /// The key that the caller authenticates with; null without one.
  readonly bearerKey: string | null
  /// Id of the last event that the caller has received, -1 for none.
  readonly lastEventId: number
}

/// The program that a call belongs to.
export interface ProgramRef {
  readonly id: string
  readonly sessionId: string
  /// Time from the call's arrival until the program should be completed: 0 if it is over, null if none is named.
  readonly remainingMs: number | null
  /// Limit on the tokens that all turns of the program generate together; null for no limit.
  readonly tokenBudget: number | null
}

/// Token counts that the caller declares for a turn.
export interface TokenUsage {
  readonly promptTokens: number
  readonly maxOutputTokens: number
}

/// A part of a prompt that other prompts may share.
export interface PrefixPart {
  readonly id: string
  readonly tokens: number
}

/// Thrown if a required header of a call is missing or malformed. The message names the problem.
export class InvalidCallError extends Error {
  override readonly name = 'InvalidCallError'
}
