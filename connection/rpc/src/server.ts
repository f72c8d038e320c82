import { Server, ServerCredentials, status } from '@grpc/grpc-js'
import type { ServerUnaryCall, sendUnaryData } from '@grpc/grpc-js'
import { LedgerService } from './generated/ledger.js'
import type { AppendReply, AppendRequest, DigestReply, DigestRequest, FetchReply, FetchRequest, FindChainReply, FindChainRequest } from './generated/ledger.js'

/// What a storage instance answers.
export interface LedgerHandler {
  append (request: AppendRequest): Promise<AppendReply>
  findChain (request: FindChainRequest): Promise<FindChainReply>
  digest (request: DigestRequest): Promise<DigestReply>
  fetch (request: FetchRequest): Promise<FetchReply>
}

/// Serves the ledger to entries and peers.
export class LedgerServer {
  private readonly server = new Server({ 'grpc.max_receive_message_length': 16 * 1024 * 1024 })

  constructor (handler: LedgerHandler) {
    this.server.addService(LedgerService, {
      append: unary((request: AppendRequest) => handler.append(request)),
      findChain: unary((request: FindChainRequest) => handler.findChain(request)),
      digest: unary((request: DigestRequest) => handler.digest(request)),
      fetch: unary((request: FetchRequest) => handler.fetch(request))
    })
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
}

function unary<Request, Reply> (handle: (request: Request) => Promise<Reply>) {
  return (call: ServerUnaryCall<Request, Reply>, callback: sendUnaryData<Reply>): void => {
    handle(call.request).then(reply => callback(null, reply), (error: unknown) => {
      callback({ code: status.UNAVAILABLE, details: error instanceof Error ? error.message : String(error) })
    })
  }
}
