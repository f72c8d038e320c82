import type { Call } from '#request/call'

/// Callers that come back later begin anew.
const maxAgeMs = 10_000
const maxTurns = 5000

/// The turns that were refused here lately, and since when their callers have tried. A turn that comes back keeps its
/// place before those that came meanwhile.
export class RefusedTurns {
  /// In the order in which they were refused first.
  private readonly sinceMsByKey = new Map<string, number>()

  /// Returns since when the caller has tried, `null` if the turn was not refused lately.
  findSinceMs (call: Call): number | null {
    const key = formatKey(call)
    const sinceMs = key === null ? undefined : this.sinceMsByKey.get(key)
    return sinceMs === undefined || performance.now() - sinceMs > maxAgeMs ? null : sinceMs
  }

  add (call: Call, sinceMs: number): void {
    const key = formatKey(call)
    if (key === null || this.findSinceMs(call) !== null) return
    this.sinceMsByKey.delete(key)
    this.sinceMsByKey.set(key, sinceMs)
    if (this.sinceMsByKey.size > maxTurns) this.sinceMsByKey.delete(this.sinceMsByKey.keys().next().value!)
  }

  delete (call: Call): void {
    const key = formatKey(call)
    if (key !== null) this.sinceMsByKey.delete(key)
  }
}

/// The retry of a turn has another id, and goes on from the same turn in the same session.
function formatKey ({ program, previousTurnId }: Call): string | null {
  return program === null || previousTurnId === null ? null : `${program.id} ${program.sessionId} ${previousTurnId}`
}
