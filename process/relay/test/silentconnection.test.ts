import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, expect, test, vi } from 'vitest'
import type { OtherEntry } from '../src/directory.js'
import { RelayedConnection } from '../src/relayedconnection.js'
import { RelayWord } from '../src/relayword.js'

const servers: Server[] = []
const sockets: Socket[] = []
const deadlineMs = 300
const request = 'POST /1 HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n'

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

interface Relayed {
  readonly client: Socket
  readonly getReceived: () => string
  readonly isClosed: () => boolean
  readonly onUnanswered: ReturnType<typeof vi.fn>
  readonly onOverdue: ReturnType<typeof vi.fn>
  readonly onEnd: ReturnType<typeof vi.fn>
}

/// Relays a connection to an entry that takes it, sends `response`, and then nothing for good. The
/// caller has sent a request.
async function relayToSilent (response: string | Buffer = ''): Promise<Relayed> {
  const [front, other] = [await listen(), await listen()]
  const [onUnanswered, onOverdue, onEnd] = [vi.fn(), vi.fn(), vi.fn()]
  front.on('connection', caller => {
    sockets.push(caller)
    const nothing = (): void => {}
    const connection = new RelayedConnection({
      caller,
      entry: createOtherEntry(`127.0.0.1:${getPort(other)}`),
      origin: { entry: 'entry-0', configVersion: 1 },
      onChunk: nothing,
      onUnreachable: nothing,
      reader: { findCallId: () => 'a1', findTimeoutMs: () => deadlineMs },
      onOverdue,
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
    socket.once('data', () => {
      socket.pause()
      socket.write(Buffer.of(RelayWord.taken))
      setTimeout(() => socket.write(response), 50)
    })
  })
  const client = connect({ port: getPort(front), host: '127.0.0.1' })
  sockets.push(client)
  let received = ''
  let isClosed = false
  client.on('data', chunk => { received += chunk.toString('latin1') })
  client.on('error', () => {})
  client.on('close', () => { isClosed = true })
  client.write(request)
  return { client, getReceived: () => received, isClosed: () => isClosed, onUnanswered, onOverdue, onEnd }
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

// Guards against requests without an answer and without a line: a connection between entries may go silent for good
// while the other entry goes on answering queries.
test('the connection to the other entry is silent until after the deadline of a request, the caller waits on: it gets an answer', async () => {
  const { getReceived, onUnanswered, onOverdue } = await relayToSilent()
  await vi.waitFor(() => expect(getReceived()).toMatch(/^HTTP\/1\.1 \d{3} /), 3 * deadlineMs)
  expect(onUnanswered.mock.calls).toMatchObject([[{ callId: 'a1', isWhole: true, status: 502 }]])
  expect(onOverdue).toHaveBeenCalledTimes(1)
})

test('the connection to the other entry is silent until after the deadline of a request, the caller leaves then: the request is reported', async () => {
  const { client, onUnanswered, onEnd } = await relayToSilent()
  await sleep(deadlineMs)
  client.destroy()
  await vi.waitFor(() => expect(onEnd).toHaveBeenCalled())
  expect(onUnanswered).toHaveBeenCalledTimes(1)
})

test('the caller leaves well before the deadline of its request: nothing is reported', async () => {
  const { client, onUnanswered, onEnd } = await relayToSilent()
  await sleep(deadlineMs / 2)
  client.destroy()
  await vi.waitFor(() => expect(onEnd).toHaveBeenCalled())
  expect(onUnanswered).not.toHaveBeenCalled()
})

test('the connection to the other entry goes silent within a response: it is broken off after the deadline', async () => {
  const { getReceived, isClosed, onUnanswered } = await relayToSilent('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhell')
  await vi.waitFor(() => expect(isClosed()).toBe(true), 3 * deadlineMs)
  expect(getReceived()).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*hell$/)
  expect(onUnanswered.mock.calls).toMatchObject([[{ callId: 'a1', isWhole: true }]])
})

// Guards against responses that are cut, since their callers are slow to read them.
test('the caller reads nothing of a response until after the deadline: it is not taken for a silence of the other entry', async () => {
  const body = Buffer.alloc(16 * 1024 * 1024)
  const response = Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n`), body])
  const { client, getReceived, onUnanswered } = await relayToSilent(response)
  client.pause()
  await sleep(4 * deadlineMs)
  client.resume()
  await vi.waitFor(() => expect(getReceived().length).toBe(response.length), 3000)
  expect(onUnanswered).not.toHaveBeenCalled()
})
