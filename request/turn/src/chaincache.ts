import type { LedgerRecord } from '#connection/rpc'

/// Turns that this process has kept or read lately. Turns never change, so a
/// cached one is as good as the ledger's; a missing one says nothing.
export class ChainCache {
  private readonly turns = new Map<string, LedgerRecord>()
  private bytes = 0

  constructor (private readonly maxBytes: number) {}

  add (turn: LedgerRecord): void {
    if (this.turns.has(turn.id)) return
    this.turns.set(turn.id, turn)
    this.bytes += sizeOf(turn)
    for (const [id, oldest] of this.turns) {
      if (this.bytes <= this.maxBytes) return
      this.turns.delete(id)
      this.bytes -= sizeOf(oldest)
    }
  }

  /// The turn's chain, oldest first; null where a part isn't cached.
  getChain (turnId: string): LedgerRecord[] | null {
    const chain: LedgerRecord[] = []
    for (let id = turnId; id !== '';) {
      const turn = this.turns.get(id)
      if (turn === undefined) return null
      chain.push(turn)
      id = turn.previousId
    }
    return chain.reverse()
  }
}

function sizeOf (turn: LedgerRecord): number {
  return turn.input.length + turn.output.length
}
