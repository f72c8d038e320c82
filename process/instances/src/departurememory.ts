import type { InstanceDescription } from './instance.js'

const maxDepartures = 1000

/// The processes of instances that were removed while they drained. Their entries may be listed again, written late or
/// after a store outage.
export class DepartureMemory {
  /// Unix time of the process's start, by instance id; the oldest departure first.
  private readonly startsById = new Map<string, number>()

  /// A process whose start time is unknown can't be told from the next one and is not remembered.
  add ({ id, startedAtMs }: InstanceDescription): void {
    if (startedAtMs === null) return
    this.startsById.delete(id)
    this.startsById.set(id, startedAtMs)
    for (const oldestId of this.startsById.keys()) {
      if (this.startsById.size <= maxDepartures) return
      this.startsById.delete(oldestId)
    }
  }

  /// Whether the process has departed, or a later one of the same instance has.
  has ({ id, startedAtMs }: InstanceDescription): boolean {
    const departedMs = this.startsById.get(id)
    return departedMs !== undefined && startedAtMs !== null && startedAtMs <= departedMs
  }
}
