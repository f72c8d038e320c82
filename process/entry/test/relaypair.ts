import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { afterEach, beforeEach, expect, vi } from 'vitest'
import { StandinUpstream } from '#standin/upstream'
import { listObjects } from '#standin/store'
import { EntryHarness } from './harness.js'

/// A call takes so long at the busy entry that it relays all connections.
export const busyMs = 1000
export const eventCount = 4
const eventIntervalMs = 20

/// Two tools and two model engines: the first two are the busy entry's.
export let upstreams: StandinUpstream[]
export let busy: EntryHarness
export let idle: EntryHarness
let clients: Client[]

/// Each test starts two entries, each with a model engine and a tool of its own, so that it shows which one served.
beforeEach(async () => {
  clients = []
  upstreams = ['models-0', 'tools-0', 'models-1', 'tools-1'].map(id => {
    const events = id.startsWith('models') ? eventCount : 0
    return new StandinUpstream({ id, eventCount: events, firstByteDelayMs: 1, eventIntervalMs })
  })
  const instances = await Promise.all(upstreams.map(async upstream => {
    return { id: upstream.options.id, address: await upstream.listen() }
  }))
  busy = new EntryHarness(instances.slice(0, 2))
  idle = new EntryHarness(instances.slice(2))
  await Promise.all([busy.listen(), idle.listen()])
  vi.spyOn(busy.serviceTime, 'expectedMs', 'get').mockReturnValue(busyMs)
})

afterEach(async () => {
  vi.restoreAllMocks()
  for (const client of clients) client.socket.destroy()
  await Promise.all([busy.close(), idle.close()])
  for (const upstream of upstreams) upstream.close()
})

/// Lists an entry at the busy one, as if it had sent a report.
export function listEntry (address: string, configVersion = 1): void {
  const spec = { address, zone: 'z', processors: 1 }
  listObjects(busy.directory, { objects: [{ name: 'entry-1', revision: 1, spec, status: null }], revision: 1 })
  busy.directory.recordReport({ name: 'entry-1', expectedMs: 1, configVersion, isReady: true, isQuery: false, askersProcessors: 0 })
}

/// How many calls the instances of the busy entry and of the idle one have executed.
export function countExecutions (): [number, number] {
  const counts = upstreams.map(upstream => upstream.executedRequests.length)
  return [counts[0]! + counts[1]!, counts[2]! + counts[3]!]
}

/// A caller that keeps its connection, and all that it has received.
export interface Client {
  readonly socket: Socket
  readonly received: () => string
  /// Whether the entry has closed the connection, and whether it was reset.
  readonly ended: () => 'open' | 'closed' | 'reset'
}

/// Sends the bytes as soon as it is connected.
export function connectClient (sent = ''): Client {
  const [host, port] = busy.address.split(':')
  const socket = connect(Number(port), host)
  if (sent !== '') socket.write(sent)
  const chunks: Buffer[] = []
  let ended: 'open' | 'closed' | 'reset' = 'open'
  socket.on('data', chunk => chunks.push(chunk))
  socket.on('error', () => { ended = 'reset' })
  // Node reports a reset that arrives with the last bytes as an ordinary end; the socket has no remote address then.
  socket.on('end', () => { if (socket.remoteAddress === undefined) ended = 'reset' })
  socket.on('close', () => { if (ended === 'open') ended = 'closed' })
  const client = { socket, received: () => Buffer.concat(chunks).toString('latin1'), ended: () => ended }
  clients.push(client)
  return client
}

/// The statuses of all responses that a client has received.
export function listStatuses ({ received }: Client): number[] {
  return (received().match(/(?<=HTTP\/1\.1 )\d+/g) ?? []).map(Number)
}

export function formatCall (path = '/charge/1', id = 'a1'): string {
  return `POST ${path} HTTP/1.1\r\nhost: demo.example\r\nattempt-id: ${id}\r\ndeadline-ms: 1500\r\ncontent-length: 0\r\n\r\n`
}

export function countResponses ({ received }: Client): number {
  return received().match(/HTTP\/1\.1 200/g)?.length ?? 0
}

/// Sends a call and waits for the end of its response.
export async function callOn (client: Client, path = '/charge/1'): Promise<void> {
  const before = countResponses(client)
  client.socket.write(formatCall(path, `a${before}`))
  await vi.waitFor(() => expect(countResponses(client)).toBe(before + 1))
}

/// A client whose connection has had one call served.
export async function connectServed (): Promise<Client> {
  const client = connectClient()
  await callOn(client)
  return client
}
