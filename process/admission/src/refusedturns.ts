/// Callers that come back later begin anew.
const maxAgeMs = 10_000
const maxTurns = 5000

/// The turns from which callers could not go on lately, and since when they have tried. A caller that comes back keeps
/// its place before those that came meanwhile. Its retry has another id, so it is known by the turn before.
export class RefusedTurns {
  /// In the order in which they were refused first.
  private readonly sinceMsByPreviousId = new Map<string, number>()

  /// Returns since when callers have tried to go on from the turn, `null` if none was refused lately. One of them gets
  /// the place of the refused one; others that go on from the same turn begin anew.
  take (previousTurnId: string | null): number | null {
    const sinceMs = this.findSinceMs(previousTurnId)
    if (previousTurnId !== null) this.sinceMsByPreviousId.delete(previousTurnId)
    return sinceMs
  }

  private findSinceMs (previousTurnId: string | null): number | null {
    const sinceMs = previousTurnId === null ? undefined : this.sinceMsByPreviousId.get(previousTurnId)
    return sinceMs === undefined || performance.now() - sinceMs > maxAgeMs ? null : sinceMs
  }

  add (previousTurnId: string | null, sinceMs: number): void {
    const { sinceMsByPreviousId } = this
    if (previousTurnId === null || this.findSinceMs(previousTurnId) !== null) return
    sinceMsByPreviousId.delete(previousTurnId)
    sinceMsByPreviousId.set(previousTurnId, sinceMs)
    if (sinceMsByPreviousId.size > maxTurns) sinceMsByPreviousId.delete(sinceMsByPreviousId.keys().next().value!)
  }
}
