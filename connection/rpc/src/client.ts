import type { AppendReply, AppendRequest, DigestReply, DigestRequest, FetchReply, FetchRequest, FindChainReply, FindChainRequest, Reply } from './generated/ledger.js'
import { PeerError, PeerSession, createPeerLiveness } from './session.js'
import type { Operation, PeerLiveness, WaitOptions } from './session.js'

/// The operations of a storage instance. Tests substitute a fake.
export interface LedgerPeer {
  /// Connects, so that the first request needn't wait for it.
  open (): void
  append (request: AppendRequest, timeoutMs: number, wait?: WaitOptions<AppendReply>): Promise<AppendReply>
  findChain (request: FindChainRequest, timeoutMs: number, wait?: WaitOptions<FindChainReply>): Promise<FindChainReply>
  digest (request: DigestRequest, timeoutMs: number, wait?: WaitOptions<DigestReply>): Promise<DigestReply>
  fetch (request: FetchRequest, timeoutMs: number): Promise<FetchReply>
  close (): void
}

type OperationName = 'append' | 'findChain' | 'digest' | 'fetch'
type ReplyTo<Name extends OperationName> = NonNullable<Reply[Name]>

/// A storage instance reached over one TCP connection. Requests that are made in one synchronous run of code are sent
/// in one write. An unresponsive connection is replaced, and stays open meanwhile for late replies.
export class LedgerConnection implements LedgerPeer {
  private session: PeerSession | null = null
  /// Also those that were replaced and are still open.
  private readonly sessions = new Set<PeerSession>()
  private generation = 0
  private isClosed = false

  constructor (private readonly address: string, private readonly liveness: PeerLiveness = createPeerLiveness()) {}

  append (request: AppendRequest, timeoutMs: number, wait?: WaitOptions<AppendReply>): Promise<AppendReply> {
    return this.sendRequest('append', { append: request }, timeoutMs, wait)
  }

  findChain (
    request: FindChainRequest, timeoutMs: number, wait?: WaitOptions<FindChainReply>
  ): Promise<FindChainReply> {
    return this.sendRequest('findChain', { findChain: request }, timeoutMs, wait)
  }

  digest (request: DigestRequest, timeoutMs: number, wait?: WaitOptions<DigestReply>): Promise<DigestReply> {
    return this.sendRequest('digest', { digest: request }, timeoutMs, wait)
  }

  fetch (request: FetchRequest, timeoutMs: number): Promise<FetchReply> {
    return this.sendRequest('fetch', { fetch: request }, timeoutMs)
  }

  open (): void {
    if (!this.isClosed) this.getSession()
  }

  close (): void {
    this.isClosed = true
    for (const session of [...this.sessions]) session.close('closed')
  }

  private async sendRequest<Name extends OperationName> (
    name: Name, operation: Operation, timeoutMs: number, wait?: WaitOptions<ReplyTo<Name>>
  ): Promise<ReplyTo<Name>> {
    if (this.isClosed) throw new PeerError(`${this.address}: connection is closed`)
    const waitForAny = wait && {
      silenceTimeoutMs: wait.silenceTimeoutMs,
      onLateReply: (reply: Reply) => wait.onLateReply(reply[name]!)
    }
    const reply = await this.getSession().send(operation, timeoutMs, waitForAny)
    return reply[name]!
  }

  private getSession (): PeerSession {
    if (this.generation !== this.liveness.generation) {
      this.generation = this.liveness.generation
      this.session?.replace()
    }
    if (this.session === null || this.session.isClosing) this.session = this.connect()
    return this.session
  }

  private connect (): PeerSession {
    const session: PeerSession = new PeerSession(this.address, this.liveness, () => this.sessions.delete(session))
    this.sessions.add(session)
    return session
  }
}
