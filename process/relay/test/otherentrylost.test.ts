import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, expect, test, vi } from 'vitest'
import type { OtherEntry } from '../src/directory.js'
import { RelayedConnection } from '../src/relayedconnection.js'
import { RelayWord } from '../src/relayword.js'

const servers: Server[] = []
const sockets: Socket[] = []

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy()
  for (const server of servers.splice(0)) server.close()
})

async function listen (): Promise<Server> {
  const server = createServer({ allowHalfOpen: true })
  servers.push(server)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return server
}

const getPort = (server: Server): number => (server.address() as AddressInfo).port

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

// Guards against LOST: a caller's connection was closed without a response, though nothing of one had been sent.
test.each<[string, (other: Socket, entry: OtherEntry) => void]>([
  ['ends', other => { other.end() }],
  ['resets', other => { other.resetAndDestroy() }],
  ['falls silent', (_, { onLoss }) => { for (const handle of [...onLoss]) handle() }]
])('a request was passed on and the other entry %s before a response: the caller gets status 502', async (_, end) => {
  const [front, other] = [await listen(), await listen()]
  const entry = createOtherEntry(`127.0.0.1:${getPort(other)}`)
  front.on('connection', caller => {
    sockets.push(caller)
    const nothing = (): void => {}
    const connection = new RelayedConnection({
      caller,
      entry,
      origin: { entry: 'entry-0', configVersion: 1 },
      onChunk: nothing,
      onUnreachable: nothing,
      reader: { findCallId: () => 'a1', findTimeoutMs: () => Infinity },
      onOverdue: nothing,
      idleTimeoutMs: 200,
      onReturned: nothing,
      onUnanswered: nothing,
      onEnd: nothing
    })
    expect(connection).toBeDefined()
  })
  other.on('connection', socket => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.once('data', () => socket.write(Buffer.of(RelayWord.taken)))
    socket.on('data', chunk => { if (chunk.includes('POST')) end(socket, entry) })
  })
  const client = connect({ port: getPort(front), host: '127.0.0.1' })
  sockets.push(client)
  let received = ''
  client.on('data', chunk => { received += chunk.toString('latin1') })
  client.on('error', () => {})
  client.write('POST /1 HTTP/1.1\r\nhost: h\r\nattempt-id: a1\r\ncontent-length: 0\r\n\r\n')
  await vi.waitFor(() => expect(received).toMatch(/^HTTP\/1\.1 502 /))
})
