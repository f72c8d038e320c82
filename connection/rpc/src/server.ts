import { Server, ServerCredentials } from '@grpc/grpc-js'
import type { ServerDuplexStream } from '@grpc/grpc-js'
import { errorMessage } from '#process/log'
import { LedgerService } from './generated/ledger.js'
import type { AppendReply, AppendRequest, DigestReply, DigestRequest, FetchReply, FetchRequest, FindChainReply, FindChainRequest, Replies, Reply, Request, Requests } from './generated/ledger.js'

/// Handles the requests to a storage instance. A rejection is sent to the requester as the reply's `error`.
export interface LedgerHandler {
  append (request: AppendRequest): Promise<AppendReply>
  findChain (request: FindChainRequest): Promise<FindChainReply>
  digest (request: DigestRequest): Promise<DigestReply>
  fetch (request: FetchRequest): Promise<FetchReply>
}

type SessionStream = ServerDuplexStream<Requests, Replies>

/// Serves the ledger protocol of a storage instance to entries and other storage instances.
export class LedgerServer {
  private readonly server = new Server({ 'grpc.max_receive_message_length': 16 * 1024 * 1024 })

  constructor (private readonly handler: LedgerHandler) {
    this.server.addService(LedgerService, { session: (stream: SessionStream) => this.handleStream(stream) })
  }

  /// Returns the bound port, which the operating system chooses if `address` has port 0.
  listen (address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
        if (error === null) resolve(port)
        else reject(error)
      })
    })
  }

  close (): void {
    this.server.forceShutdown()
  }

  private handleStream (stream: SessionStream): void {
    const replies = new ReplyBatch(stream)
    stream.on('data', ({ requests }: Requests) => {
      for (const request of requests) {
        this.handleRequest(request)
          .catch((error: unknown) => ({ error: errorMessage(error) }))
          .then(reply => replies.add({ ...emptyReply, ...reply, number: request.number }))
      }
    })
    stream.on('end', () => stream.end())
    // A disconnected peer gets no more replies, but its requests are still completed.
    stream.on('error', () => replies.stop())
    stream.on('cancelled', () => replies.stop())
  }

  private async handleRequest (request: Request): Promise<Partial<Reply>> {
    const { handler } = this
    if (request.append !== undefined) return { append: await handler.append(request.append) }
    if (request.findChain !== undefined) return { findChain: await handler.findChain(request.findChain) }
    if (request.digest !== undefined) return { digest: await handler.digest(request.digest) }
    if (request.fetch !== undefined) return { fetch: await handler.fetch(request.fetch) }
    return { error: 'the request contains no operation' }
  }
}

/// Collects the replies of one event loop iteration into one message.
class ReplyBatch {
  private replies: Reply[] = []
  private isStopped = false

  constructor (private readonly stream: SessionStream) {}

  add (reply: Reply): void {
    if (this.isStopped) return
    if (this.replies.length === 0) setImmediate(() => this.flush())
    this.replies.push(reply)
  }

  stop (): void {
    this.isStopped = true
  }

  private flush (): void {
    const { replies } = this
    this.replies = []
    if (!this.isStopped) this.stream.write({ replies })
  }
}

const emptyReply: Reply = {
  number: 0, append: undefined, findChain: undefined, digest: undefined, fetch: undefined, error: ''
}
