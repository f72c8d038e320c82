import { LedgerConnection, newHearing } from './client.js'
import type { LedgerPeer } from './client.js'
import type { AppendReply, AppendRequest, DigestReply, DigestRequest, FetchReply, FetchRequest, FindChainReply, FindChainRequest } from './generated/ledger.js'

/// A connection may have 64 KiB under way until the other side has said that it
/// has read them; a busy loop hears that late, so several connections share the load.
const laneCount = 4

/// A storage instance over several connections, taken in turn.
export class LedgerConnectionPool implements LedgerPeer {
  private readonly lanes: readonly LedgerPeer[]
  private next = 0

  constructor (address: string) {
    const hearing = newHearing()
    this.lanes = Array.from({ length: laneCount }, () => new LedgerConnection(address, hearing))
  }

  append (request: AppendRequest, timeoutMs: number): Promise<AppendReply> {
    return this.lane.append(request, timeoutMs)
  }

  findChain (request: FindChainRequest, timeoutMs: number): Promise<FindChainReply> {
    return this.lane.findChain(request, timeoutMs)
  }

  digest (request: DigestRequest, timeoutMs: number): Promise<DigestReply> {
    return this.lane.digest(request, timeoutMs)
  }

  fetch (request: FetchRequest, timeoutMs: number): Promise<FetchReply> {
    return this.lane.fetch(request, timeoutMs)
  }

  close (): void {
    for (const lane of this.lanes) lane.close()
  }

  private get lane (): LedgerPeer {
    this.next = (this.next + 1) % laneCount
    return this.lanes[this.next]!
  }
}
