import { sleep } from './sleep.js'

export interface RetryOptions {
  /// Between two attempts.
  readonly delayMs: number
  /// Ends the attempts.
  readonly signal: AbortSignal
  /// Called with the error of a failed attempt: at once, when the error changes, and each 10 s.
  readonly onFailure: (error: unknown) => void
}

const reportIntervalMs = 10_000

/// Calls `attempt` until it succeeds, without end. Rejects with the signal's reason if it is aborted before.
export async function retry<T> (attempt: () => T | Promise<T>, options: RetryOptions): Promise<T> {
  const { delayMs, signal, onFailure } = options
  let reportedText: string | null = null
  let reportedAtMs = 0
  for (;;) {
    signal.throwIfAborted()
    try {
      return await attempt()
    } catch (error) {
      const text = String(error)
      if (reportedText !== text || performance.now() - reportedAtMs >= reportIntervalMs) {
        reportedText = text
        reportedAtMs = performance.now()
        onFailure(error)
      }
    }
    await sleep(delayMs, signal)
  }
}
