import { RecordKind } from '#connection/rpc'
import type { LedgerRecord } from '#connection/rpc'

interface Promised {
  readonly bytes: number
  readonly recordedAtMs: number
}

/// A turn that isn't stored so long after its reservation is not expected any more.
const maxAgeMs = 60_000

/// What turns under way will take of the disk: the inputs of those whose reservations were stored, and that were
/// neither stored nor settled yet.
export class PromisedContents {
  /// By the id of the call.
  private readonly promised = new Map<string, Promised>()
  private totalBytes = 0

  get bytes (): number {
    return this.totalBytes
  }

  /// Takes note of a record that was added.
  add ({ kind, id, recordedAtMs, inputBytes: bytes = 0 }: LedgerRecord): void {
    this.remove(id)
    if (kind !== RecordKind.reservation || bytes === 0) return
    this.promised.set(id, { bytes, recordedAtMs })
    this.totalBytes += bytes
  }

  /// Times are by the wall clock.
  expire (nowMs: number): void {
    for (const [id, { recordedAtMs }] of this.promised) if (recordedAtMs + maxAgeMs < nowMs) this.remove(id)
  }

  private remove (id: string): void {
    this.totalBytes -= this.promised.get(id)?.bytes ?? 0
    this.promised.delete(id)
  }
}
