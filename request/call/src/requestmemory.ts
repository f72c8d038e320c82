import type { MemoryShare } from '#process/memory'
import { Refusal, RefusedError } from './refusal.js'
import { Verdict } from './verdict.js'

const retryAfterMs = 120

/// What one call's body and prompt take of the memory for requests.
export class RequestMemory {
  constructor (private readonly share: MemoryShare) {}

  /// Throws `RefusedError`, with the verdict that the call did not run, if there is no room.
  assertAdd (bytes: number): void {
    if (this.share.add(bytes)) return
    throw new RefusedError(Refusal.busy, Verdict.notRun, `this process has no memory left for ${bytes} more bytes of the call`, retryAfterMs)
  }

  close (): void {
    this.share.close()
  }
}
