import { fastify } from 'fastify'
import { splitAddress } from '#connection/address'
import type { Listener } from '#connection/listen'

/// Pages by path, such as readiness and metrics. Each is rendered on request.
export type StatusPages = Readonly<Record<string, () => { readonly status: number, readonly text: string }>>

/// A server for status pages.
export class StatusServer implements Listener {
  private readonly app = fastify({ logger: false, forceCloseConnections: true })

  constructor (pages: StatusPages) {
    for (const [path, page] of Object.entries(pages)) {
      this.app.get(path, (_, reply) => {
        const { status, text } = page()
        reply.code(status).type('text/plain; charset=utf-8').send(text)
      })
    }
  }

  async listen (address: string): Promise<void> {
    const [host, port] = splitAddress(address)
    await this.app.listen({ host, port })
  }

  onError (handle: (error: Error) => void): void {
    this.app.server.on('error', handle)
  }

  async close (): Promise<void> {
    await this.app.close()
  }
}
