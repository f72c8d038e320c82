import type { MemoryWait, RequestShare } from '#process/memory'
import { Refusal, RefusedError } from './refusal.js'
import { Verdict } from './verdict.js'

const retryAfterMs = 120

/// What one call's body and prompt take of the memory for requests.
export class RequestMemory {
  constructor (private readonly share: RequestShare) {}

  /// Throws `RefusedError`, with the verdict that the call did not run, if there is no room.
  assertAdd (bytes: number): void {
    if (!this.share.add(bytes)) throw createMemoryRefusal(bytes, retryAfterMs)
  }

  /// Takes the memory of the call's history, and waits for it if that is long. Rejects as `assertAdd` throws.
  async addHistory (bytes: number, wait: MemoryWait): Promise<void> {
    const grant = await this.share.addHistory(bytes, wait)
    if (!grant.isGranted) throw createMemoryRefusal(bytes, grant.retryAfterMs)
  }

  close (): void {
    this.share.close()
  }
}

function createMemoryRefusal (bytes: number, afterMs: number): RefusedError {
  const message = `this process has no memory left for ${bytes} more bytes of the call`
  return new RefusedError(Refusal.busy, Verdict.notRun, message, afterMs)
}
