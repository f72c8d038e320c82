import { credentials } from '@grpc/grpc-js'
import type { ClientDuplexStream } from '@grpc/grpc-js'
import { LedgerClient } from './generated/ledger.js'
import type { AppendReply, AppendRequest, DigestReply, DigestRequest, FetchReply, FetchRequest, FindChainReply, FindChainRequest, Replies, Reply, Request, Requests } from './generated/ledger.js'

/// The operations of a storage instance. Tests substitute a fake.
export interface LedgerPeer {
  /// Connects, so that the first request needn't wait for it.
  open (): void
  append (request: AppendRequest, timeoutMs: number): Promise<AppendReply>
  findChain (request: FindChainRequest, timeoutMs: number): Promise<FindChainReply>
  digest (request: DigestRequest, timeoutMs: number): Promise<DigestReply>
  fetch (request: FetchRequest, timeoutMs: number): Promise<FetchReply>
  close (): void
}

/// A request to a peer timed out or failed.
export class PeerError extends Error {
  override readonly name = 'PeerError'

  /// `isUnresponsive` is false only if the request timed out while the peer replied to others: it is slow then.
  constructor (message: string, readonly isUnresponsive = true) {
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
/// Requests that time out in a row without any reply from the peer before the connection is replaced.
const timeoutsBeforeReconnect = 2
/// A timer that fires late by more than this shows that the event loop stalled.
const stallThresholdMs = 15
/// After a stall, replies that have already arrived get this long to be read.
const stallGraceMs = 60

type SessionStream = ClientDuplexStream<Requests, Replies>

interface PendingRequest {
  readonly timer: ReturnType<typeof setTimeout>
  resolve (reply: Reply): void
  reject (error: PeerError): void
}

/// State shared by all connections to one peer.
export interface PeerLiveness {
  lastReplyMs: number
  /// Requests that timed out in a row while no connection received a reply.
  consecutiveTimeouts: number
  /// Incremented when the peer is found unresponsive; connections of an older generation are then replaced.
  generation: number
}

export function createPeerLiveness (): PeerLiveness {
  return { lastReplyMs: -Infinity, consecutiveTimeouts: 0, generation: 0 }
}

/// A storage instance reached over one gRPC stream. Requests that are made in
/// one synchronous run of code share a message. An unresponsive connection is replaced.
export class LedgerConnection implements LedgerPeer {
  private client: LedgerClient | null = null
  private stream: SessionStream | null = null
  private readonly pending = new Map<number, PendingRequest>()
  private outgoing: Request[] = []
  private lastNumber = 0
  private consecutiveTimeouts = 0
  private lastReplyMs = -Infinity
  private generation = 0
  private isClosed = false

  constructor (private readonly address: string, private readonly liveness: PeerLiveness = createPeerLiveness()) {}

  async append (request: AppendRequest, timeoutMs: number): Promise<AppendReply> {
    return (await this.sendRequest({ append: request }, timeoutMs)).append!
  }

  async findChain (request: FindChainRequest, timeoutMs: number): Promise<FindChainReply> {
    return (await this.sendRequest({ findChain: request }, timeoutMs)).findChain!
  }

  async digest (request: DigestRequest, timeoutMs: number): Promise<DigestReply> {
    return (await this.sendRequest({ digest: request }, timeoutMs)).digest!
  }

  async fetch (request: FetchRequest, timeoutMs: number): Promise<FetchReply> {
    return (await this.sendRequest({ fetch: request }, timeoutMs)).fetch!
  }

  open (): void {
    if (!this.isClosed) this.stream ??= this.connect()
  }

  close (): void {
    this.isClosed = true
    this.tearDown('closed')
  }

  private sendRequest (operation: Partial<Request>, timeoutMs: number): Promise<Reply> {
    if (this.isClosed) return Promise.reject(new PeerError(`${this.address}: connection is closed`))
    if (this.generation !== this.liveness.generation) {
      this.generation = this.liveness.generation
      this.tearDown('silent')
    }
    return new Promise((resolve, reject) => {
      const number = this.lastNumber = (this.lastNumber + 1) % 0x7fffffff
      const sentAtMs = performance.now()
      // After an event loop stall, replies that have already arrived are read before the request times out.
      const timer = setTimeout(() => {
        const wasStalled = performance.now() - sentAtMs - timeoutMs > stallThresholdMs
        setTimeout(() => this.handleTimeout(number, sentAtMs), wasStalled ? stallGraceMs : 0)
      }, timeoutMs)
      this.pending.set(number, { timer, resolve, reject })
      if (this.outgoing.length === 0) queueMicrotask(() => this.flush())
      this.outgoing.push({ ...emptyRequest, ...operation, number })
    })
  }

  private flush (): void {
    const requests = this.outgoing
    this.outgoing = []
    if (requests.length === 0) return
    this.stream ??= this.connect()
    this.stream.write({ requests })
  }

  private connect (): SessionStream {
    this.client ??= new LedgerClient(this.address, credentials.createInsecure(), channelOptions)
    const stream = this.client.session()
    stream.on('data', (replies: Replies) => {
      for (const reply of replies.replies) this.handleReply(reply)
    })
    stream.on('error', (error: Error) => this.handleStreamEnd(stream, error.message))
    stream.on('end', () => this.handleStreamEnd(stream, 'the peer ended the stream'))
    return stream
  }

  private handleReply (reply: Reply): void {
    this.consecutiveTimeouts = this.liveness.consecutiveTimeouts = 0
    this.lastReplyMs = this.liveness.lastReplyMs = performance.now()
    const pending = this.removePending(reply.number)
    if (pending === undefined) return
    if (reply.error === '') pending.resolve(reply)
    else pending.reject(new PeerError(`${this.address}: ${reply.error}`))
  }

  private removePending (number: number): PendingRequest | undefined {
    const pending = this.pending.get(number)
    this.pending.delete(number)
    clearTimeout(pending?.timer)
    return pending
  }

  private handleTimeout (number: number, sentAtMs: number): void {
    const pending = this.removePending(number)
    if (pending === undefined) return
    const { liveness } = this
    const isUnresponsive = liveness.lastReplyMs < sentAtMs
    pending.reject(new PeerError(`${this.address}: request timed out`, isUnresponsive))
    if (isUnresponsive && ++liveness.consecutiveTimeouts >= timeoutsBeforeReconnect) {
      liveness.consecutiveTimeouts = 0
      liveness.generation++
    }
    if (this.lastReplyMs < sentAtMs && ++this.consecutiveTimeouts >= timeoutsBeforeReconnect) this.tearDown('silent')
  }

  /// Rejects the requests of a stream that failed or ended; their replies are lost.
  private handleStreamEnd (stream: SessionStream, reason: string): void {
    if (stream !== this.stream) return
    this.stream = null
    this.rejectAll(reason)
  }

  /// Closes the connection and rejects its requests; the next request opens a new one.
  private tearDown (reason: string): void {
    const { client, stream } = this
    this.consecutiveTimeouts = 0
    this.client = null
    this.stream = null
    stream?.cancel()
    client?.close()
    this.rejectAll(reason)
  }

  private rejectAll (reason: string): void {
    for (const number of [...this.pending.keys()]) {
      this.removePending(number)?.reject(new PeerError(`${this.address}: connection lost: ${reason}`))
    }
    this.outgoing = []
  }
}

const emptyRequest: Request = {
  number: 0,
  append: undefined,
  findChain: undefined,
  digest: undefined,
  fetch: undefined
}
