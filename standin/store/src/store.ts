import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/// An object in the JSON form of the platform's store.
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

/// A long poll that ends with the next change of its kind, or without events when `timer` fires.
interface PendingWatch {
  readonly kind: string
  readonly from: number
  readonly response: ServerResponse
  readonly timer: ReturnType<typeof setTimeout>
}

/// Faults that the store injects, to test how clients handle its outages: `busy` responds with 503, `silent` never
/// responds, `reset` resets the connection, and `limited` responds with 429. With `responseLost`, a write takes effect,
/// but the connection is reset instead of a response.
export const StoreFault = {
  none: 'none', busy: 'busy', silent: 'silent', reset: 'reset', limited: 'limited', responseLost: 'answer-lost'
} as const

export type StoreFault = typeof StoreFault[keyof typeof StoreFault]

const pageSize = 50

/// Emulates the platform's metadata store with the parts of its published protocol that are used here:
/// paged lists, watches and conditional writes.
export class StandinStore {
  fault: StoreFault = StoreFault.none
  /// Of single clients, by the address that they connect from.
  readonly clientFaults = new Map<string, StoreFault>()
  requestCount = 0
  /// Called with the path and query of each request.
  onRequest: (url: string) => void = () => {}
  private revision = 1
  private readonly kinds = new Map<string, Map<string, StandinObject>>()
  private history: Change[] = []
  private compactedRevision = 0
  private pendingWatches: PendingWatch[] = []
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

  /// Creates or replaces an object, as the operator or an instance would. Returns the new revision.
  put (kind: string, name: string, spec: unknown): number {
    const objects = this.getObjects(kind)
    const previous = objects.get(name)
    this.revision++
    const metadata = {
      name,
      revision: this.revision,
      created_rev: previous?.metadata.created_rev ?? this.revision,
      finalizers: [],
      deletion_pending: false
    }
    const object = { metadata, spec, status: previous?.status ?? null }
    objects.set(name, object)
    this.publish({ kind, revision: this.revision, object, deleted: false })
    return this.revision
  }

  /// Copies all objects of a kind from another store.
  copyKind (other: StandinStore, kind: string): void {
    for (const [name, object] of other.getObjects(kind)) this.put(kind, name, object.spec)
  }

  get (kind: string, name: string): { spec: unknown, status: unknown } | undefined {
    return this.getObjects(kind).get(name)
  }

  remove (kind: string, name: string): void {
    const object = this.getObjects(kind).get(name)
    if (object === undefined) return
    this.getObjects(kind).delete(name)
    this.revision++
    const deletedObject = { ...object, metadata: { ...object.metadata, revision: this.revision } }
    this.publish({ kind, revision: this.revision, object: deletedObject, deleted: true })
  }

  /// Discards the change history, after which watches from older revisions get status 410, and closes pending watches.
  compactHistory (): void {
    this.history = []
    this.compactedRevision = this.revision
    for (const pending of this.pendingWatches.splice(0)) {
      clearTimeout(pending.timer)
      pending.response.destroy()
    }
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.requestCount++
    this.onRequest(request.url ?? '')
    const fault = this.clientFaults.get(request.socket.remoteAddress ?? '') ?? this.fault
    if (fault === StoreFault.silent) return
    if (fault === StoreFault.reset) {
      request.socket.resetAndDestroy()
      return
    }
    if (fault === StoreFault.busy) return sendJson(response, 503, {})
    if (fault === StoreFault.limited) return sendJson(response, 429, {})
    const body = await readJson(request)
    const url = new URL(request.url ?? '/', 'http://store')
    const [, , kind = '', name, subresource] = url.pathname.split('/').map(decodeURIComponent)
    const [status, responseBody] = this.execute(request.method ?? 'GET', kind, name, subresource, url.searchParams, body, response)
    if (status === 0) return
    if (fault === StoreFault.responseLost && request.method !== 'GET') request.socket.resetAndDestroy()
    else sendJson(response, status, responseBody)
  }

  /// Returns the status and body of the response; status 0 if a watch sends the response later.
  private execute (
    method: string, kind: string, name: string | undefined, subresource: string | undefined,
    query: URLSearchParams, body: Partial<StandinObject>, response: ServerResponse
  ): [number, unknown] {
    if (method === 'GET' && name === undefined) {
      return query.has('watch') ? this.watch(kind, query, response) : this.list(kind, query.get('after') ?? '')
    }
    const objects = this.getObjects(kind)
    if (method === 'POST') {
      const createdName = body.metadata!.name
      if (objects.has(createdName)) return [409, objects.get(createdName)]
      this.put(kind, createdName, body.spec)
      return [200, objects.get(createdName)]
    }
    const object = objects.get(name!)
    if (object === undefined) return [404, {}]
    if (method === 'GET') return [200, object]
    const expected = body.metadata?.revision
    if (expected !== undefined && expected !== object.metadata.revision) return [409, object]
    this.replace(kind, object, subresource === 'status' ? { status: body.status } : { spec: body.spec })
    return [200, objects.get(name!)]
  }

  private replace (kind: string, object: StandinObject, fields: Partial<StandinObject>): void {
    const next = { ...object, ...fields }
    if (JSON.stringify(next) === JSON.stringify(object)) return
    this.revision++
    next.metadata = { ...object.metadata, revision: this.revision }
    this.getObjects(kind).set(object.metadata.name, next)
    this.publish({ kind, revision: this.revision, object: next, deleted: false })
  }

  private list (kind: string, after: string): [number, unknown] {
    const names = [...this.getObjects(kind).keys()].sort().filter(name => name > after)
    const items = names.slice(0, pageSize).map(name => this.getObjects(kind).get(name))
    return [200, { items, has_more: names.length > pageSize, at: this.revision }]
  }

  private watch (kind: string, query: URLSearchParams, response: ServerResponse): [number, unknown] {
    const from = Number(query.get('watch'))
    if (from < this.compactedRevision) return [410, {}]
    const events = this.eventsAfter(kind, from)
    if (events.length > 0) return [200, { events, at: this.revision }]
    const timer = setTimeout(() => this.completeWatch(pending), Number(query.get('wait_ms') ?? 0))
    const pending = { kind, from, response, timer }
    this.pendingWatches.push(pending)
    return [0, null]
  }

  private eventsAfter (kind: string, from: number): unknown[] {
    return this.history.filter(change => change.kind === kind && change.revision > from)
      .map(({ object, deleted }) => ({ object, deleted }))
  }

  private publish (change: Change): void {
    this.history.push(change)
    for (const pending of [...this.pendingWatches]) if (pending.kind === change.kind) this.completeWatch(pending)
  }

  private completeWatch (pending: PendingWatch): void {
    clearTimeout(pending.timer)
    this.pendingWatches = this.pendingWatches.filter(other => other !== pending)
    sendJson(pending.response, 200, { events: this.eventsAfter(pending.kind, pending.from), at: this.revision })
  }

  private getObjects (kind: string): Map<string, StandinObject> {
    let objects = this.kinds.get(kind)
    if (objects === undefined) this.kinds.set(kind, objects = new Map())
    return objects
  }
}

function sendJson (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

async function readJson (request: IncomingMessage): Promise<Partial<StandinObject>> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'))
}
