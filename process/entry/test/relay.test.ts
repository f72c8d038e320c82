import { Socket, createServer, connect } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { sleep } from '#process/clock'
import { RelayWord } from '#process/relay'
import { StandinUpstream, UpstreamFault } from '#standin/upstream'
import { listObjects } from '#standin/store'
import { EntryHarness } from './harness.js'

/// A call takes so long at the busy entry that it relays all connections.
const busyMs = 1000
const eventCount = 4
const eventIntervalMs = 20

let upstreams: StandinUpstream[]
let busy: EntryHarness
let idle: EntryHarness
let clients: Client[]

/// Starts two entries, each with a model engine and a tool of its own, so that it shows which one served a call.
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
function listEntry (address: string, configVersion = 1): void {
  const spec = { address, zone: 'z', processors: 1 }
  listObjects(busy.directory, { objects: [{ name: 'entry-1', revision: 1, spec, status: null }], revision: 1 })
  busy.directory.recordReport({ name: 'entry-1', expectedMs: 1, configVersion, isReady: true, isQuery: false, askersProcessors: 0 })
}

/// How many calls the instances of the busy entry and of the idle one have executed.
function countExecutions (): [number, number] {
  const counts = upstreams.map(upstream => upstream.executedRequests.length)
  return [counts[0]! + counts[1]!, counts[2]! + counts[3]!]
}

/// A caller that keeps its connection, and all that it has received.
interface Client {
  readonly socket: Socket
  readonly received: () => string
  /// Whether the entry has closed the connection, and whether it was reset.
  readonly ended: () => 'open' | 'closed' | 'reset'
}

function connectClient (): Client {
  const [host, port] = busy.address.split(':')
  const socket = connect(Number(port), host)
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

function formatCall (path: string, id: string): string {
  return `POST ${path} HTTP/1.1\r\nhost: demo.example\r\nattempt-id: ${id}\r\ndeadline-ms: 1500\r\ncontent-length: 0\r\n\r\n`
}

function countResponses ({ received }: Client): number {
  return received().match(/HTTP\/1\.1 200/g)?.length ?? 0
}

/// Sends a call and waits for the end of its response.
async function callOn (client: Client, path = '/charge/1'): Promise<void> {
  const before = countResponses(client)
  client.socket.write(formatCall(path, `a${before}`))
  await vi.waitFor(() => expect(countResponses(client)).toBe(before + 1))
}

describe('a new connection of a busy entry is relayed to another entry, which serves', () => {
  beforeEach(() => listEntry(idle.relayAddress))

  test.each(['/charge/1', '/check/1', '/query/1', '/chat/1'])('a call to %s, once, with the response unchanged', async path => {
    const { status, headers, body } = await busy.call(path, { 'attempt-id': 'a1' })
    expect([status, headers['attempt-id']]).toEqual([200, 'a1'])
    expect(headers['server-signature']).toMatch(/-1\./)
    expect(countExecutions()).toEqual([0, 1])
    expect(body).toBe((await idle.call(path, { 'attempt-id': 'a1' })).body)
  })

  test('all calls of the connection', async () => {
    const client = connectClient()
    for (let i = 0; i < 3; i++) await callOn(client)
    expect([countExecutions(), client.ended()]).toEqual([[0, 3], 'open'])
  })

  test('a call with a long body that arrives in pieces', async () => {
    const { socket, received } = connectClient()
    const body = 'x'.repeat(300_000)
    socket.write(formatCall('/charge/1', 'a1').replace('content-length: 0', `content-length: ${body.length}`))
    for (let i = 0; i < body.length; i += 50_000) {
      await sleep(5)
      socket.write(body.slice(i, i + 50_000))
    }
    await vi.waitFor(() => expect(received()).toMatch(/HTTP\/1\.1 200/))
    expect(upstreams[3]!.executedRequests[0]!.body.length).toBe(body.length)
  })

  test('a malformed request gets status 400', async () => {
    const { socket, received } = connectClient()
    socket.write('POST /charge/1 HTTP/1.1\r\nhost : demo.example\r\nx y\r\n\r\n')
    await vi.waitFor(() => expect(received()).toMatch(/HTTP\/1\.1 400/))
  })

  test('connections that it relays are not relayed again', async () => {
    vi.spyOn(idle.serviceTime, 'expectedMs', 'get').mockReturnValue(busyMs)
    listObjects(idle.directory, { objects: [{ name: 'entry-2', revision: 1, spec: { address: busy.relayAddress, zone: 'z', processors: 1 }, status: null }], revision: 1 })
    idle.directory.recordReport({ name: 'entry-2', expectedMs: 1, configVersion: 1, isReady: true, isQuery: false, askersProcessors: 0 })
    const client = connectClient()
    for (let i = 0; i < 2; i++) await callOn(client)
    expect([countExecutions(), client.ended()]).toEqual([[0, 2], 'open'])
  })

  // Guards against an older configuration after a newer one at the same caller.
  test.each([
    ['a route that both have', '/charge/1'],
    ['a route that the other version lacks', '/none/1']
  ])('nothing under another version of the configuration: a call to %s is refused as not run, the connection closed', async (_, path) => {
    const client = connectClient()
    await callOn(client)
    idle.configVersion = 2
    client.socket.write(formatCall(path, 'a2'))
    await vi.waitFor(() => expect(client.ended()).toBe('closed'))
    expect(client.received()).toMatch(/HTTP\/1\.1 503[^]*connection: close[^]*"verdict":"not-run"/)
    expect(countExecutions()).toEqual([0, 1])
  })

  test('the caller leaves: the call is aborted at once', async () => {
    upstreams[3]!.fault = UpstreamFault.silent
    const { socket } = connectClient()
    socket.write(formatCall('/charge/1', 'a1'))
    await vi.waitFor(() => expect(countExecutions()).toEqual([0, 1]))
    socket.end()
    await vi.waitFor(() => expect(upstreams[3]!.abortedCount).toBe(1), { timeout: 500 })
  })

  test.each([
    ['drained', 'stays', () => busy.relay.drain(), 'open', 1],
    ['at a stop', 'closes', () => busy.relay.stop(), 'closed', 0]
  ])('%s while a stream is under way: the stream is completed, then the connection %s', async (_, __, drain, ended, count) => {
    const client = connectClient()
    client.socket.write(formatCall('/query/1', 'a1'))
    await vi.waitFor(() => expect(client.received()).toMatch(/data:/))
    drain()
    await vi.waitFor(() => expect(client.received()).toMatch(/0\r\n\r\n$/))
    await vi.waitFor(() => expect(client.ended()).toBe(ended))
    expect([client.received().match(/^id: /gm)?.length, busy.relay.count]).toEqual([eventCount, count])
  })

  // Guards against answers of 400 to sound requests: a change of the configuration cut the connection within a body.
  test.each(['content-length: 11', 'transfer-encoding: chunked'])('at a stop while a body with %s pauses: the call is served', async field => {
    const client = connectClient()
    await callOn(client)
    const isChunked = field.startsWith('transfer')
    client.socket.write(formatCall('/charge/1', 'a2').replace('content-length: 0', field) + (isChunked ? '5\r\nhello\r\n' : 'hello'))
    await sleep(20)
    busy.relay.stop()
    await sleep(300)
    client.socket.write(isChunked ? '6\r\n world\r\n0\r\n\r\n' : ' world')
    await vi.waitFor(() => expect(client.ended()).toBe('closed'))
    expect(client.received().match(/HTTP\/1\.1 \d+/g)).toEqual(['HTTP/1.1 200', 'HTTP/1.1 200'])
    expect(upstreams[3]!.executedRequests[1]!.body).toBe('hello world')
  })

  test('drained before the other entry is reached: the call is served here', async () => {
    const client = connectClient()
    client.socket.write(formatCall('/charge/1', 'a1'))
    await vi.waitFor(() => expect(busy.relay.count).toBe(1))
    busy.relay.drain()
    await vi.waitFor(() => expect(countResponses(client)).toBe(1))
  })

  // Guards against requests without a response: a change of the configuration or a stop closed the connection unread.
  test.each([
    ['drained', () => busy.relay.drain()],
    ['at the start of a stop', () => busy.relay.startStop()],
    ['at a stop', () => busy.relay.stop()],
    ['at a stop after a drain', () => {
      busy.relay.drain()
      busy.relay.stop()
    }]
  ])('%s when the next call has arrived and is not read yet: the call is served here', async (_, drain) => {
    const client = connectClient()
    await callOn(client)
    client.socket.write(formatCall('/charge/1', 'a2'))
    drain()
    await vi.waitFor(() => expect(countResponses(client)).toBe(2))
    expect([countExecutions(), busy.relay.count]).toEqual([[1, 1], 0])
  })

  // Guards against sound requests that were refused as too old: they counted as arrived when the connection was opened.
  test('drained when the connection is older than the deadline of the next call: the call is served here', async () => {
    const client = connectClient()
    await callOn(client)
    await sleep(1600)
    client.socket.write(formatCall('/charge/1', 'a2'))
    busy.relay.drain()
    await vi.waitFor(() => expect(client.received().match(/HTTP\/1\.1 \d+/g)?.length).toBe(2))
    expect(countResponses(client)).toBe(2)
  })

  // Guards against LOST: calls were cut at an entry that had not got the processor for a second and went on with them.
  test('silent for a while, with a call under way: the call gets its response', async () => {
    upstreams[3]!.fault = UpstreamFault.late
    const client = connectClient()
    client.socket.write(formatCall('/charge/1', 'a1'))
    await vi.waitFor(() => expect(countExecutions()).toEqual([0, 1]))
    for (let i = 0; i < 6; i++) busy.directory.tick(busyMs, 1)
    await vi.waitFor(() => expect(countResponses(client)).toBe(1), { timeout: 2000 })
  })

  // Guards against requests without a response that no entry has read.
  test('idle for the idle time of the other entry: a call that would cross its close gets its response', async () => {
    idle.setRelayedIdleTimeout(60)
    const client = connectClient()
    await callOn(client)
    const relayPort = Number(idle.relayAddress.split(':')[1])
    const { destroy } = Socket.prototype
    const closing = new Promise<void>(resolve => {
      vi.spyOn(Socket.prototype, 'destroy').mockImplementation(function (this: Socket, error) {
        if (this.localPort === relayPort) resolve()
        if (this.localPort === relayPort && countResponses(client) === 1) client.socket.write(formatCall('/charge/1', 'a1'))
        return destroy.call(this, error)
      })
    })
    const isClosed = await Promise.race([closing.then(() => true), sleep(1500).then(() => false)])
    if (!isClosed) client.socket.write(formatCall('/charge/1', 'a1'))
    await vi.waitFor(() => expect(countResponses(client)).toBe(2))
  })

  // Guards against requests that cross the close of an entry that stops, if no report of the stop has arrived.
  test('idle as the other entry stops: a call that would cross its close is served here', async () => {
    const client = connectClient()
    await callOn(client)
    const relayPort = Number(idle.relayAddress.split(':')[1])
    const { destroy } = Socket.prototype
    vi.spyOn(Socket.prototype, 'destroy').mockImplementation(function (this: Socket, error) {
      if (this.localPort === relayPort && countResponses(client) === 1) client.socket.write(formatCall('/charge/1', 'a1'))
      return destroy.call(this, error)
    })
    idle.announceStop()
    await sleep(50)
    idle.closeRelayed().catch(() => {})
    await sleep(50)
    if (countResponses(client) === 1) client.socket.write(formatCall('/charge/1', 'a1'))
    await vi.waitFor(() => expect(countResponses(client)).toBe(2))
    expect([countExecutions(), client.received().match(/HTTP\/1\.1 \d+/g)]).toEqual([[1, 1], ['HTTP/1.1 200', 'HTTP/1.1 200']])
  })

  test('at a stop: a connection that is accepted meanwhile is served here', async () => {
    busy.relay.stop()
    await callOn(connectClient())
    expect(countExecutions()).toEqual([1, 0])
  })

  // Guards against LOST: a change of the configuration closed all relayed connections, and cut requests on their way.
  test.each([
    ['drained', () => busy.relay.drain(), 1],
    ['at the start of a stop', () => busy.relay.startStop(), 1],
    ['drained as the other entry stops', () => busy.directory.recordReport({ name: 'entry-1', expectedMs: 1, configVersion: 1, isReady: false, isQuery: false, askersProcessors: 0 }), 0]
  ])('%s while no call is under way: the connection stays, and the next call is served here', async (_, drain, announcedCloses) => {
    const client = connectClient()
    await callOn(client)
    drain()
    await sleep(100)
    expect(client.ended()).toBe('open')
    await callOn(client)
    expect([countExecutions(), busy.relay.count]).toEqual([[1, 1], 0])
    expect(client.received().match(/connection: close/gi) ?? []).toHaveLength(announcedCloses)
  })

  test.each([
    ['', () => {}],
    [' after a drain', () => busy.relay.drain()]
  ])('at a stop%s while no call is under way: the connection closes soon', async (_, drain) => {
    const client = connectClient()
    await callOn(client)
    drain()
    await sleep(20)
    busy.relay.stop()
    await vi.waitFor(() => expect(client.ended()).toBe('closed'), { timeout: 300 })
    expect(busy.relay.count).toBe(0)
  })
})

test('a connection that was opened before the entry was busy: its next response closes it, so that the caller reconnects', async () => {
  const client = connectClient()
  await callOn(client)
  listEntry(idle.relayAddress)
  client.socket.write(formatCall('/charge/1', 'a2'))
  await vi.waitFor(() => expect(client.ended()).toBe('closed'))
  expect(client.received().match(/connection: close/gi)?.length).toBe(1)
  expect(countExecutions()).toEqual([2, 0])
})

describe('an entry that fails', () => {
  let server: Server
  let sockets: Socket[]

  /// Lists a server as an entry that treats each relayed call with `handle`.
  async function listServer (handle: (socket: Socket) => void): Promise<void> {
    sockets = []
    server = createServer(socket => {
      sockets.push(socket)
      socket.on('error', () => {})
      socket.once('data', () => socket.write(Buffer.of(RelayWord.taken)))
      socket.on('data', chunk => { if (chunk.toString('latin1').includes('attempt-id')) handle(socket) })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    listEntry(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  }

  afterEach(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })

  const head = 'HTTP/1.1 200 OK\r\nattempt-id: a1\r\nconnection: close\r\n'

  const fallSilent = (): void => { for (let i = 0; i < 12; i++) busy.directory.tick(busyMs, 1) }

  test.each<[string, (socket: Socket) => void, 'closed' | 'reset']>([
    ['closes within a body of known length: the connection is closed', socket => socket.end(`${head}content-length: 9\r\n\r\nhalf`), 'closed'],
    ['resets within a body without a length: the connection is reset', socket => socket.write(`${head}\r\nhalf`, () => socket.resetAndDestroy()), 'reset'],
    ['falls silent within a body: the connection is reset', socket => socket.write(`${head}\r\nhalf`, () => setTimeout(fallSilent, 100)), 'reset']
  ])('%s, and the call is not sent again', async (_, handle, ended) => {
    await listServer(handle)
    const client = connectClient()
    client.socket.write(formatCall('/charge/1', 'a1'))
    await vi.waitFor(() => expect(client.ended()).toBe(ended))
    expect([countExecutions(), busy.relay.count]).toEqual([[0, 0], 0])
  })

  test.each<[string, (socket: Socket) => void]>([
    ['closes', socket => socket.end()],
    ['resets', socket => socket.resetAndDestroy()],
    ['falls silent', fallSilent]
  ])('%s before it answers: the caller gets status 502, the call is not sent again, and the next one is served here', async (_, handle) => {
    await listServer(handle)
    const client = connectClient()
    client.socket.write(formatCall('/charge/1', 'a1'))
    await vi.waitFor(() => expect(client.received()).toMatch(/^HTTP\/1\.1 502 /))
    expect([countExecutions(), busy.relay.count]).toEqual([[0, 0], 0])
    client.socket.write(formatCall('/charge/1', 'a2'))
    await vi.waitFor(() => expect(client.received()).toMatch(/HTTP\/1\.1 200 /))
    expect(countExecutions()).toEqual([1, 0])
  })

  // Guards against requests hidden in a malformed one: what follows its rejection is no request.
  test.each([
    ['while it is drained', () => busy.relay.drain()],
    ['that it closes', () => {}]
  ])('rejects a request and asks for a close on a connection %s: what the caller sends afterwards is not served', async (_, drain) => {
    await listServer(socket => {
      drain()
      socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n')
    })
    const client = connectClient()
    client.socket.once('data', () => client.socket.write(formatCall('/charge/1', 'hidden')))
    client.socket.write('POST /charge/1 HTTP/1.1\r\nhost: demo.example\r\nattempt-id: a1\r\ncontent-length: 300\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n')
    await vi.waitFor(() => expect(client.ended()).not.toBe('open'))
    expect([client.received().match(/HTTP\/1\.1 \d+/g), countExecutions()]).toEqual([['HTTP/1.1 400'], [0, 0]])
  })

  test('can not be reached: connections are served here, also the next ones', async () => {
    await listServer(socket => socket.end())
    server.close()
    for (let i = 0; i < 2; i++) expect((await busy.call('/charge/1')).status).toBe(200)
    expect([countExecutions(), sockets.length]).toEqual([[2, 0], 0])
  })
})

test.each([
  ['no line', 'POST /charge/1 HTTP/1.1\r\nhost: demo.example\r\n\r\n'],
  ['a line without a version', 'RELAY entry-0\n'],
  ['a line without end', 'x'.repeat(300)]
])('a relayed connection that begins with %s is closed without a response', async (_, bytes) => {
  const [host, port] = idle.relayAddress.split(':')
  const socket = connect(Number(port), host, () => socket.write(bytes))
  const onData = vi.fn()
  socket.on('data', onData)
  socket.on('error', () => {})
  await new Promise(resolve => socket.on('close', resolve))
  expect(onData).not.toHaveBeenCalled()
})

// Guards against a turn that one entry passes on and the other refuses, as each takes the other to be better.
test.each([
  ['has come over another entry is served', 200, () => busy],
  ['has not is refused', 503, () => idle]
])('both entries take another one to be better: a turn that goes on and %s', async (_, status, getEntry) => {
  const previousTurn = 'previous'
  await idle.call('/chat/1', { 'attempt-id': previousTurn })
  listEntry(idle.relayAddress)
  idle.loop.meanDelayMs = 80
  idle.betterShare = 0.02
  expect((await getEntry().call('/chat/1', { 'previous-turn': previousTurn })).status).toBe(status)
  expect(busy.relay.count).toBe(status === 200 ? 1 : 0)
})
