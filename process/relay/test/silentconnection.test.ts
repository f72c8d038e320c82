import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, expect, test, vi } from 'vitest'
import type { OtherEntry } from '../src/directory.js'
import { RelayedConnection } from '../src/relayedconnection.js'

const servers: Server[] = []
const sockets: Socket[] = []
const deadlineMs = 300

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
    unansweredQueries: 0,
    avoidUntilMs: 0,
    onUnavailable: new Set(),
    onLoss: new Set()
  }
}

// Guards against requests without an answer and without a line: a connection between entries may go silent for good
// while the other entry goes on answering queries.
test.each<[string, boolean]>([
  ['the caller waits on: it gets an answer', false],
  ['the caller leaves then: the request is reported', true]
])('the connection to the other entry is silent until after the deadline of a request, %s', async (_, isLeaving) => {
  const [front, other] = [await listen(), await listen()]
  const onUnanswered = vi.fn()
  const onEnd = vi.fn()
  front.on('connection', caller => {
    sockets.push(caller)
    const nothing = (): void => {}
    const connection = new RelayedConnection({
      caller,
      entry: createOtherEntry(`127.0.0.1:${getPort(other)}`),
      origin: { entry: 'entry-0', configVersion: 1 },
      onChunk: nothing,
      onUnreachable: nothing,
      findCallId: () => 'a1',
      idleTimeoutMs: 200,
      onReturned: nothing,
      onUnanswered,
      onEnd
    })
    expect(connection).toBeDefined()
  })
  other.on('connection', socket => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.pause()
  })
  const client = connect({ port: getPort(front), host: '127.0.0.1' })
  sockets.push(client)
  let received = ''
  client.on('data', chunk => { received += chunk.toString('latin1') })
  client.on('error', () => {})
  client.write(`POST /1 HTTP/1.1\r\nhost: h\r\nattempt-id: a1\r\ndeadline-ms: ${deadlineMs}\r\ncontent-length: 0\r\n\r\n`)
  if (!isLeaving) return await vi.waitFor(() => expect(received).toMatch(/^HTTP\/1\.1 \d{3} /), 3 * deadlineMs)
  await new Promise(resolve => setTimeout(resolve, deadlineMs))
  client.destroy()
  await vi.waitFor(() => expect(onEnd).toHaveBeenCalled())
  expect(onUnanswered).toHaveBeenCalledTimes(1)
})
