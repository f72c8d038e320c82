import { credentials } from '@grpc/grpc-js'
import type { ClientDuplexStream } from '@grpc/grpc-js'
import { LedgerClient } from './generated/ledger.js'
import type { AppendReply, AppendRequest, DigestReply, DigestRequest, FetchReply, FetchRequest, FindChainReply, FindChainRequest, Replies, Reply, Request, Requests } from './generated/ledger.js'

/// What can be asked of a storage instance. A test's fake stands in for it.
export interface LedgerPeer {
  append (request: AppendRequest, timeoutMs: number): Promise<AppendReply>
  findChain (request: FindChainRequest, timeoutMs: number): Promise<FindChainReply>
  digest (request: DigestRequest, timeoutMs: number): Promise<DigestReply>
  fetch (request: FetchRequest, timeoutMs: number): Promise<FetchReply>
  close (): void
}

/// A peer did not answer in time, or not at all.
export class PeerError extends Error {
  override readonly name = 'PeerError'

  /// `isSilent` is false where the peer has answered other requests meanwhile: it is slow, not gone.
  constructor (message: string, readonly isSilent = true) {
    super(message)
  }
}

const channelOptions = {
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 400,
  'grpc.max_receive_message_length': 16 * 1024 * 1024,
  'grpc.enable_http_proxy': 0,
  'grpc.use_local_subchannel_pool': 1
}
// A connection that has let this many requests in a row run out of time is taken for a silent one.
const timeoutsBeforeReconnect = 2
/// A timer that is this late shows that the loop stood still.
const stallMs = 15
/// What has arrived meanwhile gets this long to be read.
const stallGraceMs = 60

type Session = ClientDuplexStream<Requests, Replies>

interface Pending {
  readonly timer: ReturnType<typeof setTimeout>
  resolve (reply: Reply): void
  reject (error: PeerError): void
}

/// What the connections to one peer know together.
export interface Hearing {
  lastReplyMs: number
  /// Requests in a row that ran out of time while nothing at all came from the peer.
  timeouts: number
  /// How often the peer was found silent; each connection is replaced after that.
  silences: number
}

export function newHearing (): Hearing {
  return { lastReplyMs: -Infinity, timeouts: 0, silences: 0 }
}

/// A storage instance over one gRPC stream. Requests of one turn of the loop
/// share a message. A connection that went silent is replaced.
export class LedgerConnection implements LedgerPeer {
  private client: LedgerClient | null = null
  private session: Session | null = null
  private readonly pending = new Map<number, Pending>()
  private outgoing: Request[] = []
  private lastNumber = 0
  private timeouts = 0
  private lastReplyMs = -Infinity
  private silences = 0
  private isClosed = false

  constructor (private readonly address: string, private readonly hearing: Hearing = newHearing()) {}

  async append (request: AppendRequest, timeoutMs: number): Promise<AppendReply> {
    return (await this.ask({ append: request }, timeoutMs)).append!
  }

  async findChain (request: FindChainRequest, timeoutMs: number): Promise<FindChainReply> {
    return (await this.ask({ findChain: request }, timeoutMs)).findChain!
  }

  async digest (request: DigestRequest, timeoutMs: number): Promise<DigestReply> {
    return (await this.ask({ digest: request }, timeoutMs)).digest!
  }

  async fetch (request: FetchRequest, timeoutMs: number): Promise<FetchReply> {
    return (await this.ask({ fetch: request }, timeoutMs)).fetch!
  }

  close (): void {
    this.isClosed = true
    this.drop('closed')
  }

  private ask (question: Partial<Request>, timeoutMs: number): Promise<Reply> {
    if (this.isClosed) return Promise.reject(new PeerError(`${this.address}: closed`))
    if (this.silences !== this.hearing.silences) {
      this.silences = this.hearing.silences
      this.drop('silent')
    }
    return new Promise((resolve, reject) => {
      const number = this.lastNumber = (this.lastNumber + 1) % 0x7fffffff
      const sentAtMs = performance.now()
      // After a stall of the loop, answers that have arrived are read before the time is up.
      const timer = setTimeout(() => {
        const wasStalled = performance.now() - sentAtMs - timeoutMs > stallMs
        setTimeout(() => this.expire(number, sentAtMs), wasStalled ? stallGraceMs : 0)
      }, timeoutMs)
      this.pending.set(number, { timer, resolve, reject })
      if (this.outgoing.length === 0) queueMicrotask(() => this.flush())
      this.outgoing.push({ ...blankRequest, ...question, number })
    })
  }

  private flush (): void {
    const requests = this.outgoing
    this.outgoing = []
    if (requests.length === 0) return
    this.session ??= this.connect()
    this.session.write({ requests })
  }

  private connect (): Session {
    this.client ??= new LedgerClient(this.address, credentials.createInsecure(), channelOptions)
    const session = this.client.session()
    session.on('data', (replies: Replies) => {
      for (const reply of replies.replies) this.settle(reply)
    })
    session.on('error', (error: Error) => this.lose(session, error.message))
    session.on('end', () => this.lose(session, 'the stream ended'))
    return session
  }

  private settle (reply: Reply): void {
    this.timeouts = this.hearing.timeouts = 0
    this.lastReplyMs = this.hearing.lastReplyMs = performance.now()
    const pending = this.take(reply.number)
    if (pending === undefined) return
    if (reply.error === '') pending.resolve(reply)
    else pending.reject(new PeerError(`${this.address}: ${reply.error}`))
  }

  private take (number: number): Pending | undefined {
    const pending = this.pending.get(number)
    this.pending.delete(number)
    clearTimeout(pending?.timer)
    return pending
  }

  private expire (number: number, sentAtMs: number): void {
    const pending = this.take(number)
    if (pending === undefined) return
    const { hearing } = this
    const isSilent = hearing.lastReplyMs < sentAtMs
    pending.reject(new PeerError(`${this.address}: no answer in time`, isSilent))
    if (isSilent && ++hearing.timeouts >= timeoutsBeforeReconnect) {
      hearing.timeouts = 0
      hearing.silences++
    }
    if (this.lastReplyMs < sentAtMs && ++this.timeouts >= timeoutsBeforeReconnect) this.drop('silent')
  }

  /// The session is gone; what it carried has no answer.
  private lose (session: Session, reason: string): void {
    if (session !== this.session) return
    this.session = null
    this.rejectAll(reason)
  }

  /// Gives up the connection; the next request opens another one.
  private drop (reason: string): void {
    const { client, session } = this
    this.timeouts = 0
    this.client = null
    this.session = null
    session?.cancel()
    client?.close()
    this.rejectAll(reason)
  }

  private rejectAll (reason: string): void {
    for (const number of [...this.pending.keys()]) {
      this.take(number)?.reject(new PeerError(`${this.address}: ${reason}`))
    }
    this.outgoing = []
  }
}

const blankRequest: Request = {
  number: 0,
  append: undefined,
  findChain: undefined,
  digest: undefined,
  fetch: undefined
}
