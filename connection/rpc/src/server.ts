import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { splitAddress } from '#connection/address'
import type { Listener } from '#connection/listen'
import { errorMessage } from '#process/log'
import { FrameReader, FrameWriter, toFrame } from './frames.js'
import { Reply, Request } from './generated/ledger.js'
import type { AppendReply, AppendRequest, DigestReply, DigestRequest, FetchReply, FetchRequest, FindChainReply, FindChainRequest } from './generated/ledger.js'

/// Handles the requests to a storage instance. A rejection is sent to the requester as the reply's `error`.
export interface LedgerHandler {
  append (request: AppendRequest): Promise<AppendReply>
  findChain (request: FindChainRequest): Promise<FindChainReply>
  digest (request: DigestRequest): Promise<DigestReply>
  fetch (request: FetchRequest): Promise<FetchReply>
}

/// Serves the ledger protocol of a storage instance to entries and other storage instances.
export class LedgerServer implements Listener {
  private readonly sockets = new Set<Socket>()
  private readonly server: Server

  /// Without a handler, connections are closed until `serve` is called.
  constructor (private handler: LedgerHandler | null = null) {
    this.server = createServer({ noDelay: true }, socket => this.handleConnection(socket))
  }

  /// Takes HOST:PORT. Returns the bound port, which the operating system chooses if the address has port 0.
  async listen (address: string): Promise<number> {
    const [host, port] = splitAddress(address)
    this.server.listen({ host, port, backlog })
    await once(this.server, 'listening')
    return (this.server.address() as AddressInfo).port
  }

  onError (handle: (error: Error) => void): void {
    this.server.on('error', handle)
  }

  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  serve (handler: LedgerHandler): void {
    this.handler = handler
  }

  private handleConnection (socket: Socket): void {
    const { handler } = this
    if (handler === null) {
      socket.destroy()
      return
    }
    const reader = new FrameReader()
    // The replies of one event loop iteration are sent in one write.
    const writer = new FrameWriter(socket, setImmediate)
    this.sockets.add(socket)
    socket.on('data', chunk => {
      try {
        for (const message of reader.push(chunk)) this.handleMessage(Request.decode(message), handler, writer)
      } catch (error) {
        socket.destroy(error as Error)
      }
    })
    socket.on('end', () => socket.destroy())
    // A disconnected peer gets no more replies, but its requests are still completed.
    socket.on('error', () => {})
    socket.on('close', () => this.sockets.delete(socket))
  }

  private handleMessage (request: Request, handler: LedgerHandler, writer: FrameWriter): void {
    const { number } = request
    handleRequest(request, handler)
      .then(reply => encodeReply(number, reply))
      .catch((error: unknown) => encodeReply(number, { error: errorMessage(error) }))
      .then(frame => writer.send(frame))
  }
}

/// Throws if the reply can't be sent.
function encodeReply (number: number, reply: Partial<Reply>): Buffer {
  return toFrame(Reply.encode({ ...emptyReply, ...reply, number }).finish())
}

async function handleRequest (request: Request, handler: LedgerHandler): Promise<Partial<Reply>> {
  if (request.append !== undefined) return { append: await handler.append(request.append) }
  if (request.findChain !== undefined) return { findChain: await handler.findChain(request.findChain) }
  if (request.digest !== undefined) return { digest: await handler.digest(request.digest) }
  if (request.fetch !== undefined) return { fetch: await handler.fetch(request.fetch) }
  return { error: 'the request contains no operation' }
}

/// Connections that wait to be accepted: all entries may connect at once.
const backlog = 1024

const emptyReply: Reply = {
  number: 0, append: undefined, findChain: undefined, digest: undefined, fetch: undefined, error: ''
}
