import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, beforeEach, expect, vi } from 'vitest'
import type { Mock } from 'vitest'
import type { OtherEntry } from '../src/directory.js'
import { RelayedConnection } from '../src/relayedconnection.js'
import { RelayWord } from '../src/relayword.js'

export const idleTimeoutMs = 200

let servers: Server[]
let sockets: Socket[]

beforeEach(() => {
  servers = []
  sockets = []
})

afterEach(() => {
  for (const socket of sockets) socket.destroy()
  for (const server of servers) server.close()
})

/// One end of a connection, and what it has received.
export class End {
  private readonly chunks: Buffer[] = []
  isReset = false
  isClosed = false

  constructor (readonly socket: Socket) {
    sockets.push(socket)
    socket.on('data', chunk => this.chunks.push(chunk))
    socket.on('error', () => { this.isReset = true })
    // Node reports a reset that arrives with the last bytes as an ordinary end.
    socket.on('end', () => { if (socket.remoteAddress === undefined) this.isReset = true })
    socket.on('close', () => { this.isClosed = true })
  }

  get text (): string {
    return Buffer.concat(this.chunks).toString('latin1')
  }

  /// The ids of the requests, or the statuses of the responses, that were received.
  get messages (): string[] {
    return this.text.match(/(?<=POST \/)\w+|(?<=HTTP\/1\.1 )\d+/g) ?? []
  }

  async receive (count: number): Promise<void> {
    await vi.waitFor(() => expect(this.messages.length).toBeGreaterThanOrEqual(count))
  }
}

/// A connection that is relayed: its caller, the other entry's end, and what the relay has told.
export interface Relayed {
  readonly caller: End
  readonly entry: End
  /// What is known of the other entry.
  readonly other: OtherEntry
  readonly connection: RelayedConnection
  readonly onReturned: Mock<(isLate: boolean) => void>
  /// The connection once it is served here; what its caller sends is received then.
  readonly served: () => End | null
  readonly onUnreachable: ReturnType<typeof vi.fn>
  readonly onUnanswered: ReturnType<typeof vi.fn>
  readonly onEnd: ReturnType<typeof vi.fn>
  /// The connection's end at the entry that relays.
  readonly accepted: Socket
  /// Sends what contains a request. Resolves when the other entry has got so many.
  readonly send: (text?: string, count?: number) => Promise<void>
  /// Sends a request, which the other entry answers, as the `count`th one of the connection.
  readonly exchange: (id: string, count?: number) => Promise<void>
}

async function listen (): Promise<{ readonly server: Server, readonly port: number }> {
  const server = createServer({ allowHalfOpen: true })
  servers.push(server)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { server, port: (server.address() as AddressInfo).port }
}

/// Resolves once the other entry has taken the connection, or before that, if it doesn't.
export async function relay (isTaken = true, expectedMs = 1): Promise<Relayed> {
  const [front, peer] = await Promise.all([listen(), listen()])
  const other = { ...createOtherEntry(`127.0.0.1:${peer.port}`), expectedMs }
  const caller = new End(connect({ port: front.port, host: '127.0.0.1', noDelay: true }))
  const [accepted] = await once(front.server, 'connection') as [Socket]
  sockets.push(accepted)
  const [onUnreachable, onUnanswered, onEnd] = [vi.fn(), vi.fn(), vi.fn()]
  let served: End | null = null
  const onReturned = vi.fn(() => { served = new End(accepted) })
  const connection = new RelayedConnection({
    caller: accepted,
    entry: other,
    origin: { entry: 'entry-0', configVersion: 1 },
    onChunk: () => {},
    onUnreachable,
    reader: { findCallId: head => /^POST \/(\w+)/.exec(head)?.[1] ?? null, findTimeoutMs: () => Infinity },
    onOverdue: () => {},
    idleTimeoutMs,
    onReturned,
    onUnanswered,
    onEnd
  })
  const [socket] = await once(peer.server, 'connection') as [Socket]
  const entry = new End(socket)
  if (isTaken) socket.once('data', () => socket.write(Buffer.of(RelayWord.taken)))
  await vi.waitFor(() => expect(entry.text).toBe('RELAY 1 entry-0 await\n'))
  const send = async (text = formatRequest('a1'), count = 1): Promise<void> => {
    caller.socket.write(text)
    await entry.receive(count)
  }
  const exchange = async (id: string, count = 1): Promise<void> => {
    await send(formatRequest(id), count)
    entry.socket.write(formatResponse(200))
    await caller.receive(count)
  }
  const told = { onReturned, onUnreachable, onUnanswered, onEnd }
  const relayed = { caller, entry, other, connection, accepted, served: () => served, ...told, send, exchange }
  if (isTaken) await vi.waitFor(() => expect(accepted.listenerCount('data')).toBe(1))
  return relayed
}

function createOtherEntry (address: string): OtherEntry {
  return {
    registration: { name: 'entry-1', address, zone: 'z', processors: 1 },
    expectedMs: 1,
    configVersion: 1,
    isReady: true,
    askersProcessors: 0,
    askedTicks: 0,
    ageTicks: 0,
    reportedAtMs: 0,
    unansweredQueries: 0,
    avoidUntilMs: 0,
    onUnavailable: new Set(),
    onLoss: new Set()
  }
}

export function formatRequest (id: string, body = ''): string {
  return `POST /${id} HTTP/1.1\r\nhost: h\r\ncontent-length: ${body.length}\r\n\r\n${body}`
}

export function formatResponse (status: number, fields = ''): string {
  return `HTTP/1.1 ${status} X\r\n${fields}content-length: 2\r\n\r\nok`
}

export const pipelined = ['a1', 'a2', 'a3'].map(id => formatRequest(id)).join('')
