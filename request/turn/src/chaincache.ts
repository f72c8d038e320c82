import type { LedgerRecord } from '#connection/rpc'

interface CachedTurn {
  readonly turn: LedgerRecord
  /// On the monotonic clock of `performance.now()`.
  readonly addedAtMs: number
}

/// Caches turns that this process has stored or read, and evicts those that were
/// added first. Turns are immutable, so a cached one is always valid, but the
/// ledger may have dropped it; one that isn't cached may still be there.
export class ChainCache {
  private readonly turns = new Map<string, CachedTurn>()
  private bytes = 0

  constructor (private readonly maxBytes: number) {}

  add (turn: LedgerRecord): void {
    if (this.turns.has(turn.id)) return
    this.turns.set(turn.id, { turn, addedAtMs: performance.now() })
    this.bytes += getByteLength(turn)
    for (const [id, oldest] of this.turns) {
      if (this.bytes <= this.maxBytes) return
      this.turns.delete(id)
      this.bytes -= getByteLength(oldest.turn)
    }
  }

  /// How long ago a turn was added, 0 if it isn't cached.
  getAgeMs (turnId: string): number {
    const cached = this.turns.get(turnId)
    return cached === undefined ? 0 : performance.now() - cached.addedAtMs
  }

  /// Returns the turn's chain, oldest first; null if one of its turns isn't cached.
  getChain (turnId: string): LedgerRecord[] | null {
    const chain: LedgerRecord[] = []
    for (let id = turnId; id !== '';) {
      const turn = this.turns.get(id)?.turn
      if (turn === undefined) return null
      chain.push(turn)
      id = turn.previousId
    }
    return chain.reverse()
  }
}

function getByteLength (turn: LedgerRecord): number {
  return turn.input.length + turn.output.length
}
