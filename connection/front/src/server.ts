import { fastify } from 'fastify'
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import { Exchange } from './exchange.js'

export interface FrontOptions {
  /// Serves one exchange; must not reject.
  readonly serve: (exchange: Exchange) => Promise<void>
  /// Told of requests that are no HTTP, with the parser's code.
  readonly onMalformed: (code: string) => void
}

/// What a caller may take, as far as the HTTP stack enforces it.
export interface FrontLimits {
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

const maxHeaderBytes = 16 * 1024

/// The HTTP server for callers. Parsing is Node's own, in its strict mode; a
/// request goes to the core as it is, past the framework's routes and parsers.
export class FrontServer {
  private readonly server: FastifyInstance

  constructor (options: FrontOptions) {
    const serve = (request: FastifyRequest, reply: FastifyReply, done: () => void): void => {
      reply.hijack()
      options.serve(new Exchange(request.raw, reply.raw)).finally(done)
    }
    this.server = fastify({
      logger: false,
      // A path that the router can't decode is the core's business like any other.
      frameworkErrors: (_, request, reply) => serve(request, reply, () => {}),
      forceCloseConnections: 'idle',
      http: { maxHeaderSize: maxHeaderBytes, insecureHTTPParser: false },
      clientErrorHandler: (error, socket) => {
        options.onMalformed(error.code)
        if (error.code === 'ECONNRESET' || !socket.writable) return socket.destroy()
        const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'
        socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`)
      }
    })
    this.server.addHook('onRequest', serve)
    this.server.all('*', () => {})
  }

  /// Returns the address that was bound.
  async listen (address: string): Promise<string> {
    const [host, port] = splitAddress(address)
    this.server.server.requestTimeout = 0
    return await this.server.listen({ host, port, backlog: 1024 })
  }

  setLimits (limits: FrontLimits): void {
    const { server } = this.server
    server.headersTimeout = limits.headerTimeoutMs
    server.keepAliveTimeout = limits.idleTimeoutMs
  }

  /// Takes no more connections and closes those that are idle.
  async close (): Promise<void> {
    await this.server.close()
  }
}

/// Splits HOST:PORT.
export function splitAddress (address: string): [string, number] {
  const colon = address.lastIndexOf(':')
  return [address.slice(0, colon), Number(address.slice(colon + 1))]
}
