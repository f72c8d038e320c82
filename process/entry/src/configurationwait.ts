import type { Call } from '#request/call'
import { Refusal, RefusedError, Verdict } from '#request/call'

/// A call is held for so long after its arrival, at most.
const maxHoldMs = 1000
/// The rest of a caller's time is left for the call itself, or for a retry.
const maxHoldShare = 0.5
/// Calls beyond this number are refused at once.
const maxHeldCalls = 1000
const retryAfterMs = 300
/// A call that is refused by a stop should be sent to another entry at once.
const stoppingRetryAfterMs = 20

interface HeldCall {
  readonly call: Call
  release (): void
  refuse (error: RefusedError): void
}

/// Holds the calls that come before an entry has its first configuration, instead of refusing them: after all entries
/// have started at once, no other one can serve them either.
export class ConfigurationWait {
  private readonly held = new Set<HeldCall>()
  private isOver = false
  private isStopping = false

  /// Resolves when there is a configuration, at once if there is one. Rejects with `RefusedError` if the call has been
  /// held for too long, or its signal is aborted.
  wait (call: Call, signal: AbortSignal): Promise<void> {
    if (this.isOver) return Promise.resolve()
    if (this.isStopping) return Promise.reject(createStoppingError())
    const endsAtMs = call.receivedAtMs + Math.min(maxHoldMs, call.callerTimeoutMs * maxHoldShare)
    const remainingMs = endsAtMs - performance.now()
    if (remainingMs <= 0 || this.held.size >= maxHeldCalls) return Promise.reject(createNoConfigurationError())
    if (signal.aborted) return Promise.reject(createAbortedError())
    return new Promise((resolve, reject) => {
      const end = (): void => {
        clearTimeout(timer)
        signal.removeEventListener('abort', drop)
        this.held.delete(entry)
      }
      const refuse = (error: RefusedError): void => {
        end()
        reject(error)
      }
      const drop = (): void => refuse(createAbortedError())
      const entry = {
        call,
        release: () => {
          end()
          resolve()
        },
        refuse
      }
      const timer = setTimeout(() => refuse(createNoConfigurationError()), remainingMs)
      signal.addEventListener('abort', drop, { once: true })
      this.held.add(entry)
    })
  }

  /// Must be called when the first configuration is in force. Releases the calls that continue a program first, so that
  /// none of the others starts before them.
  end (): void {
    this.isOver = true
    const held = [...this.held].sort((a, b) => Number(isContinuing(b.call)) - Number(isContinuing(a.call)))
    for (const { release } of held) release()
  }

  /// Must be called when the entry stops: it may get no configuration any more, and other entries go on.
  stop (): void {
    this.isStopping = true
    for (const { refuse } of [...this.held]) refuse(createStoppingError())
  }

  get count (): number {
    return this.held.size
  }
}

function isContinuing ({ previousTurnId }: Call): boolean {
  return previousTurnId !== null
}

/// The error for a call that an entry without a configuration can't serve.
export function createNoConfigurationError (): RefusedError {
  return new RefusedError(
    Refusal.noConfiguration,
    Verdict.notRun,
    'no configuration has been loaded yet',
    retryAfterMs
  )
}

function createStoppingError (): RefusedError {
  const message = 'the entry stops before a configuration has been loaded'
  return new RefusedError(Refusal.stopping, Verdict.notRun, message, stoppingRetryAfterMs)
}

function createAbortedError (): RefusedError {
  const message = 'caller disconnected before a configuration had been loaded'
  return new RefusedError(Refusal.timedOut, Verdict.notRun, message)
}
