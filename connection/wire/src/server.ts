import { Server, ServerCredentials, status } from '@grpc/grpc-js'
import type { ServerUnaryCall, ServerWritableStream, handleServerStreamingCall, handleUnaryCall, sendUnaryData } from '@grpc/grpc-js'
import { EntryPeerService } from './generated/chicorynotch/v1/entry.js'
import { ProcessService } from './generated/chicorynotch/v1/process.js'
import { SidecarService } from './generated/chicorynotch/v1/sidecar.js'
import type { EntryPort, ProcessPort, SidecarPort } from './port.js'

/// What a process serves to its peers.
export interface RpcServerOptions {
  readonly process: ProcessPort
  readonly entry?: EntryPort
  readonly sidecar?: SidecarPort
  readonly credentials?: ServerCredentials
  /// Told of each error that a port threw instead of answering with it.
  readonly onError?: (error: unknown) => void
}

const maxMessageBytes = 16 << 20

/// The gRPC server of a process.
export class RpcServer {
  private constructor (private readonly server: Server, private readonly credentials: ServerCredentials) {}

  static create (options: RpcServerOptions): RpcServer {
    const server = new Server({
      'grpc.max_receive_message_length': maxMessageBytes,
      'grpc.max_send_message_length': maxMessageBytes
    })
    const handlers = Handlers.of(options.onError ?? (() => {}))
    server.addService(ProcessService, handlers.process(options.process))
    if (options.entry !== undefined) server.addService(EntryPeerService, handlers.entry(options.entry))
    if (options.sidecar !== undefined) server.addService(SidecarService, handlers.sidecar(options.sidecar))
    return new RpcServer(server, options.credentials ?? ServerCredentials.createInsecure())
  }

  /// Listens at `IP:port`, where port 0 takes a free one, and returns the port.
  listen (address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.bindAsync(address, this.credentials, (error, port) => {
        if (error === null) resolve(port)
        else reject(error)
      })
    })
  }

  /// Refuses new requests and resolves when those in flight have ended.
  stop (): Promise<void> {
    return new Promise(resolve => this.server.tryShutdown(() => resolve()))
  }

  /// Cuts all requests off.
  cut (): void {
    this.server.forceShutdown()
  }
}

class Handlers {
  private constructor (private readonly onError: (error: unknown) => void) {}

  static of (onError: (error: unknown) => void): Handlers {
    return new Handlers(onError)
  }

  process (port: ProcessPort) {
    return {
      events: this.unary(port.events.bind(port)),
      configure: this.unary(port.configure.bind(port))
    }
  }

  entry (port: EntryPort) {
    return {
      open: this.unary(port.open.bind(port)),
      call: this.stream(port.call.bind(port)),
      end: this.unary(port.end.bind(port)),
      show: this.unary(port.show.bind(port)),
      list: this.unary(port.list.bind(port)),
      settle: this.unary(port.settle.bind(port)),
      probe: this.unary(port.probe.bind(port)),
      handOver: this.unary(port.handOver.bind(port))
    }
  }

  sidecar (port: SidecarPort) {
    return {
      dispatch: this.stream(port.dispatch.bind(port)),
      attach: this.stream(port.attach.bind(port)),
      inquire: this.unary(port.inquire.bind(port)),
      acknowledge: this.unary(port.acknowledge.bind(port)),
      release: this.unary(port.release.bind(port)),
      report: this.unary(port.report.bind(port))
    }
  }

  private unary<Request, Reply> (method: (request: Request) => Promise<Reply>): handleUnaryCall<Request, Reply> {
    return (call: ServerUnaryCall<Request, Reply>, callback: sendUnaryData<Reply>) => {
      method(call.request).then(reply => callback(null, reply), error => {
        this.onError(error)
        callback({ code: status.INTERNAL, details: messageOf(error) })
      })
    }
  }

  private stream<Request, Event> (
    method: (request: Request) => AsyncIterable<Event>
  ): handleServerStreamingCall<Request, Event> {
    return (call: ServerWritableStream<Request, Event>) => {
      writeAll(call, method(call.request)).catch(error => {
        this.onError(error)
        call.emit('error', { code: status.INTERNAL, details: messageOf(error) })
      })
    }
  }
}

async function writeAll<Request, Event> (
  call: ServerWritableStream<Request, Event>,
  events: AsyncIterable<Event>
): Promise<void> {
  for await (const event of events) {
    if (call.cancelled) return
    const room = call.write(event)
    if (!room) await roomOrEnd(call)
  }
  call.end()
}

function roomOrEnd<Request, Event> (call: ServerWritableStream<Request, Event>): Promise<void> {
  return new Promise(resolve => {
    const done = () => {
      call.off('drain', done)
      call.off('cancelled', done)
      resolve()
    }
    call.on('drain', done)
    call.on('cancelled', done)
  })
}

function messageOf (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
