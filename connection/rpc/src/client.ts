import { Metadata, credentials } from '@grpc/grpc-js'
import type { CallOptions, ClientUnaryCall, ServiceError } from '@grpc/grpc-js'
import { LedgerClient } from './generated/ledger.js'
import type { AppendReply, AppendRequest, DigestReply, DigestRequest, FetchReply, FetchRequest, FindChainReply, FindChainRequest } from './generated/ledger.js'

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
}

const channelOptions = {
  'grpc.keepalive_time_ms': 1500,
  'grpc.keepalive_timeout_ms': 700,
  'grpc.keepalive_permit_without_calls': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 400,
  'grpc.max_receive_message_length': 16 * 1024 * 1024,
  'grpc.enable_http_proxy': 0,
  'grpc.use_local_subchannel_pool': 1
}
// A connection that has let this many calls in a row run out of time is taken for a silent one.
const timeoutsBeforeReconnect = 2

/// A storage instance over gRPC. A connection that went silent is replaced.
export class LedgerConnection implements LedgerPeer {
  private client: LedgerClient
  private timeouts = 0

  constructor (private readonly address: string) {
    this.client = this.connect()
  }

  append (request: AppendRequest, timeoutMs: number): Promise<AppendReply> {
    return this.call(this.client.append, request, timeoutMs)
  }

  findChain (request: FindChainRequest, timeoutMs: number): Promise<FindChainReply> {
    return this.call(this.client.findChain, request, timeoutMs)
  }

  digest (request: DigestRequest, timeoutMs: number): Promise<DigestReply> {
    return this.call(this.client.digest, request, timeoutMs)
  }

  fetch (request: FetchRequest, timeoutMs: number): Promise<FetchReply> {
    return this.call(this.client.fetch, request, timeoutMs)
  }

  close (): void {
    this.client.close()
  }

  private connect (): LedgerClient {
    return new LedgerClient(this.address, credentials.createInsecure(), channelOptions)
  }

  private call<Request, Reply> (method: UnaryMethod<Request, Reply>, request: Request, timeoutMs: number): Promise<Reply> {
    const { client } = this
    return new Promise((resolve, reject) => {
      const startedAtMs = performance.now()
      const options = { deadline: Date.now() + timeoutMs }
      method.call(client, request, new Metadata(), options, (error, reply) => {
        if (error === null) {
          this.timeouts = 0
          resolve(reply)
          return
        }
        // A deadline of this call alone, not one that passed while the process stood still.
        if (performance.now() - startedAtMs >= timeoutMs) this.noteTimeout(client)
        reject(new PeerError(`${this.address}: ${error.details}`, { cause: error }))
      })
    })
  }

  private noteTimeout (client: LedgerClient): void {
    if (client !== this.client || ++this.timeouts < timeoutsBeforeReconnect) return
    this.timeouts = 0
    this.client = this.connect()
    client.close()
  }
}

type UnaryMethod<Request, Reply> = (
  this: LedgerClient,
  request: Request,
  metadata: Metadata,
  options: Partial<CallOptions>,
  callback: (error: ServiceError | null, reply: Reply) => void
) => ClientUnaryCall
