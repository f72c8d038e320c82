import type { Listener } from '#connection/listen'
import { ConnectionLimit } from './connectionlimit.js'
import type { Exchange } from './exchange.js'
import { RequestBacklog } from './requestbacklog.js'
import { FrontServer } from './server.js'

/// Pages by path, such as readiness and metrics. Each is rendered on request.
export type StatusPages = Readonly<Record<string, () => { readonly status: number, readonly text: string }>>

/// A health check or a collector of metrics needs one or two connections.
const maxConnections = 16
const maxBacklogBytes = 2 * 1024 * 1024
const limits = { headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
const readMethods: ReadonlySet<string> = new Set(['GET', 'HEAD'])
const notFound = { status: 404, text: 'not found\n' }

/// A server for status pages. Its callers are as unknown as those of the entry, so it has the same limits.
export class StatusServer implements Listener {
  private readonly front: FrontServer

  constructor (private readonly pages: StatusPages) {
    this.front = new FrontServer({
      serve: async exchange => this.respond(exchange),
      onDropped: () => {},
      onMalformed: () => {},
      getDelayMs: () => 0,
      onAccepting: () => {},
      limit: new ConnectionLimit(maxConnections),
      backlog: new RequestBacklog(maxBacklogBytes)
    })
    this.front.setLimits(limits)
  }

  async listen (address: string): Promise<void> {
    await this.front.listen(address)
  }

  onError (handle: (error: Error) => void): void {
    this.front.onError(handle)
  }

  async close (): Promise<void> {
    await this.front.closeNow()
  }

  private respond (exchange: Exchange): void {
    const { method, path } = exchange.head
    const page = readMethods.has(method) ? this.findPage(path.split('?', 1)[0]!) : undefined
    const { status, text } = page?.() ?? notFound
    exchange.respond(status, { 'content-type': 'text/plain; charset=utf-8' }, Buffer.from(text), page === undefined)
  }

  private findPage (path: string): StatusPages[string] | undefined {
    return Object.hasOwn(this.pages, path) ? this.pages[path] : undefined
  }
}
