import { Server, ServerCredentials } from '@grpc/grpc-js'
import type { ServerDuplexStream } from '@grpc/grpc-js'
import { errorMessage } from '#process/log'
import { LedgerService } from './generated/ledger.js'
import type { AppendReply, AppendRequest, DigestReply, DigestRequest, FetchReply, FetchRequest, FindChainReply, FindChainRequest, Replies, Reply, Request, Requests } from './generated/ledger.js'

/// What a storage instance answers.
export interface LedgerHandler {
  append (request: AppendRequest): Promise<AppendReply>
  findChain (request: FindChainRequest): Promise<FindChainReply>
  digest (request: DigestRequest): Promise<DigestReply>
  fetch (request: FetchRequest): Promise<FetchReply>
}

type Session = ServerDuplexStream<Requests, Replies>

/// Serves the ledger to entries and peers.
export class LedgerServer {
  private readonly server = new Server({ 'grpc.max_receive_message_length': 16 * 1024 * 1024 })

  constructor (private readonly handler: LedgerHandler) {
    this.server.addService(LedgerService, { session: (session: Session) => this.serve(session) })
  }

  /// Returns the port, which the system picks where `address` has port 0.
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

  private serve (session: Session): void {
    const replies = new ReplyBatch(session)
    session.on('data', ({ requests }: Requests) => {
      for (const request of requests) {
        this.answer(request)
          .catch((error: unknown) => ({ error: errorMessage(error) }))
          .then(reply => replies.add({ ...blankReply, ...reply, number: request.number }))
      }
    })
    session.on('end', () => session.end())
    // A caller that is gone gets no more answers; what it asked for is done all the same.
    session.on('error', () => replies.stop())
    session.on('cancelled', () => replies.stop())
  }

  private async answer (request: Request): Promise<Partial<Reply>> {
    const { handler } = this
    if (request.append !== undefined) return { append: await handler.append(request.append) }
    if (request.findChain !== undefined) return { findChain: await handler.findChain(request.findChain) }
    if (request.digest !== undefined) return { digest: await handler.digest(request.digest) }
    if (request.fetch !== undefined) return { fetch: await handler.fetch(request.fetch) }
    return { error: 'an empty request' }
  }
}

/// Gathers the answers of one turn of the loop in one message.
class ReplyBatch {
  private replies: Reply[] = []
  private isStopped = false

  constructor (private readonly session: Session) {}

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
    if (!this.isStopped) this.session.write({ replies })
  }
}

const blankReply: Reply = {
  number: 0, append: undefined, findChain: undefined, digest: undefined, fetch: undefined, error: ''
}
