/// One attempt of a caller at a request, as the product understands it.
export interface Call {
  /// Unique to this attempt; the upstream echoes it.
  readonly id: string
  readonly method: string
  /// Path with query, as it was received.
  readonly path: string
  readonly host: string
  /// Headers to pass on, names and values alternating, as they were received.
  readonly forwardedHeaders: readonly string[]
  /// How long the caller waits, from `receivedAtMs`.
  readonly callerTimeoutMs: number
  /// On the runtime's monotonic clock.
  readonly receivedAtMs: number
  readonly program: ProgramRef | null
  readonly previousTurnId: string | null
  readonly usage: TokenUsage | null
  /// The shared parts of the prompt, outermost first.
  readonly prefix: readonly PrefixPart[]
  /// The last event that the caller holds already, -1 for none.
  readonly lastEventId: number
}

/// The program that a call belongs to.
export interface ProgramRef {
  readonly id: string
  readonly sessionId: string
  /// Until the program should be finished, from the call's arrival.
  readonly remainingMs: number
  /// Tokens that all turns of the program may generate; null where none is set.
  readonly tokenBudget: number | null
}

/// The sizes that a turn declares.
export interface TokenUsage {
  readonly promptTokens: number
  readonly maxOutputTokens: number
}

/// A part of a prompt that other prompts may share.
export interface PrefixPart {
  readonly id: string
  readonly tokens: number
}

/// A call whose headers can't be used, with the reason for the log.
export class InvalidCallError extends Error {
  override readonly name = 'InvalidCallError'
}
