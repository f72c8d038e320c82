import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/// An object as the platform's store holds it.
interface StandinObject {
  metadata: { name: string, revision: number, created_rev: number, finalizers: string[], deletion_pending: boolean }
  spec: unknown
  status: unknown
}

interface Change {
  readonly kind: string
  readonly revision: number
  readonly object: StandinObject
  readonly deleted: boolean
}

interface Waiter {
  readonly kind: string
  readonly from: number
  readonly response: ServerResponse
  readonly timer: ReturnType<typeof setTimeout>
}

/// What the store does to calls, for tests of its outages.
export const StoreFault = { none: 'none', busy: 'busy', silent: 'silent', reset: 'reset', answerLost: 'answer-lost' } as const

export type StoreFault = typeof StoreFault[keyof typeof StoreFault]

const pageSize = 50

/// A small stand-in for the platform's metadata store, after the platform's
/// published protocol: lists with pages, watches, conditional writes.
export class StandinStore {
  fault: StoreFault = StoreFault.none
  requestCount = 0
  private revision = 1
  private readonly kinds = new Map<string, Map<string, StandinObject>>()
  private history: Change[] = []
  private forgottenUpTo = 0
  private waiters: Waiter[] = []
  private server: Server | null = null

  async listen (): Promise<string> {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy())
    })
    await new Promise<void>(resolve => this.server!.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  close (): void {
    this.server?.close()
    this.server?.closeAllConnections()
  }

  /// Writes an object as the operator or an instance would.
  put (kind: string, name: string, spec: unknown): number {
    const objects = this.objectsOf(kind)
    const before = objects.get(name)
    this.revision++
    const metadata = {
      name,
      revision: this.revision,
      created_rev: before?.metadata.created_rev ?? this.revision,
      finalizers: [],
      deletion_pending: false
    }
    const object = { metadata, spec, status: before?.status ?? null }
    objects.set(name, object)
    this.tell({ kind, revision: this.revision, object, deleted: false })
    return this.revision
  }

  get (kind: string, name: string): { spec: unknown, status: unknown } | undefined {
    return this.objectsOf(kind).get(name)
  }

  remove (kind: string, name: string): void {
    const object = this.objectsOf(kind).get(name)
    if (object === undefined) return
    this.objectsOf(kind).delete(name)
    this.revision++
    const gone = { ...object, metadata: { ...object.metadata, revision: this.revision } }
    this.tell({ kind, revision: this.revision, object: gone, deleted: true })
  }

  /// Drops the history and cuts the watches.
  compactHistory (): void {
    this.history = []
    this.forgottenUpTo = this.revision
    for (const waiter of this.waiters.splice(0)) {
      clearTimeout(waiter.timer)
      waiter.response.destroy()
    }
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.requestCount++
    const { fault } = this
    if (fault === StoreFault.silent) return
    if (fault === StoreFault.reset) {
      request.socket.resetAndDestroy()
      return
    }
    if (fault === StoreFault.busy) return send(response, 503, {})
    const body = await readJson(request)
    const url = new URL(request.url ?? '/', 'http://store')
    const [, , kind = '', name, part] = url.pathname.split('/').map(decodeURIComponent)
    const [status, answer] = this.execute(request.method ?? 'GET', kind, name, part, url.searchParams, body, response)
    if (status === 0) return
    if (fault === StoreFault.answerLost && request.method !== 'GET') request.socket.resetAndDestroy()
    else send(response, status, answer)
  }

  private execute (
    method: string, kind: string, name: string | undefined, part: string | undefined,
    query: URLSearchParams, body: Partial<StandinObject>, response: ServerResponse
  ): [number, unknown] {
    if (method === 'GET' && name === undefined) {
      return query.has('watch') ? this.watch(kind, query, response) : this.list(kind, query.get('after') ?? '')
    }
    const objects = this.objectsOf(kind)
    if (method === 'POST') {
      const created = body.metadata!.name
      if (objects.has(created)) return [409, objects.get(created)]
      this.put(kind, created, body.spec)
      return [200, objects.get(created)]
    }
    const object = objects.get(name!)
    if (object === undefined) return [404, {}]
    if (method === 'GET') return [200, object]
    const expected = body.metadata?.revision
    if (expected !== undefined && expected !== object.metadata.revision) return [409, object]
    this.replace(kind, object, part === 'status' ? { status: body.status } : { spec: body.spec })
    return [200, objects.get(name!)]
  }

  private replace (kind: string, object: StandinObject, fields: Partial<StandinObject>): void {
    const next = { ...object, ...fields }
    if (JSON.stringify(next) === JSON.stringify(object)) return
    this.revision++
    next.metadata = { ...object.metadata, revision: this.revision }
    this.objectsOf(kind).set(object.metadata.name, next)
    this.tell({ kind, revision: this.revision, object: next, deleted: false })
  }

  private list (kind: string, after: string): [number, unknown] {
    const names = [...this.objectsOf(kind).keys()].sort().filter(name => name > after)
    const items = names.slice(0, pageSize).map(name => this.objectsOf(kind).get(name))
    return [200, { items, has_more: names.length > pageSize, at: this.revision }]
  }

  private watch (kind: string, query: URLSearchParams, response: ServerResponse): [number, unknown] {
    const from = Number(query.get('watch'))
    if (from < this.forgottenUpTo) return [410, {}]
    const events = this.eventsAfter(kind, from)
    if (events.length > 0) return [200, { events, at: this.revision }]
    const timer = setTimeout(() => this.answerWaiter(waiter), Number(query.get('wait_ms') ?? 0))
    const waiter = { kind, from, response, timer }
    this.waiters.push(waiter)
    return [0, null]
  }

  private eventsAfter (kind: string, from: number): unknown[] {
    return this.history.filter(change => change.kind === kind && change.revision > from)
      .map(({ object, deleted }) => ({ object, deleted }))
  }

  private tell (change: Change): void {
    this.history.push(change)
    for (const waiter of [...this.waiters]) if (waiter.kind === change.kind) this.answerWaiter(waiter)
  }

  private answerWaiter (waiter: Waiter): void {
    clearTimeout(waiter.timer)
    this.waiters = this.waiters.filter(other => other !== waiter)
    send(waiter.response, 200, { events: this.eventsAfter(waiter.kind, waiter.from), at: this.revision })
  }

  private objectsOf (kind: string): Map<string, StandinObject> {
    let objects = this.kinds.get(kind)
    if (objects === undefined) this.kinds.set(kind, objects = new Map())
    return objects
  }
}

function send (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

async function readJson (request: IncomingMessage): Promise<Partial<StandinObject>> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'))
}
