import { LedgerConnection } from './client.js'
import type { LedgerPeer } from './client.js'
import type { AppendReply, AppendRequest, DigestReply, DigestRequest, FetchReply, FetchRequest, FindChainReply, FindChainRequest } from './generated/ledger.js'
import { createPeerLiveness } from './session.js'
import type { WaitOptions } from './session.js'

/// Several connections share the load: what waits on one for a lost packet or a full window doesn't hold up the others.
const connectionCount = 4

/// A storage instance reached over several connections, used round-robin.
export class LedgerConnectionPool implements LedgerPeer {
  private readonly connections: readonly LedgerPeer[]
  private nextIndex = 0

  constructor (address: string) {
    const liveness = createPeerLiveness()
    this.connections = Array.from({ length: connectionCount }, () => new LedgerConnection(address, liveness))
  }

  append (request: AppendRequest, timeoutMs: number, wait?: WaitOptions<AppendReply>): Promise<AppendReply> {
    return this.nextConnection.append(request, timeoutMs, wait)
  }

  findChain (
    request: FindChainRequest, timeoutMs: number, wait?: WaitOptions<FindChainReply>
  ): Promise<FindChainReply> {
    return this.nextConnection.findChain(request, timeoutMs, wait)
  }

  digest (request: DigestRequest, timeoutMs: number, wait?: WaitOptions<DigestReply>): Promise<DigestReply> {
    return this.nextConnection.digest(request, timeoutMs, wait)
  }

  fetch (request: FetchRequest, timeoutMs: number): Promise<FetchReply> {
    return this.nextConnection.fetch(request, timeoutMs)
  }

  open (): void {
    for (const connection of this.connections) connection.open()
  }

  close (): void {
    for (const connection of this.connections) connection.close()
  }

  private get nextConnection (): LedgerPeer {
    this.nextIndex = (this.nextIndex + 1) % connectionCount
    return this.connections[this.nextIndex]!
  }
}
