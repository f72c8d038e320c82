import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { OtherEntry } from '../src/directory.js'
import { RelayedConnection } from '../src/relayedconnection.js'
import { RelayWord } from '../src/relayword.js'

const idleTimeoutMs = 200

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
class End {
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
interface Relayed {
  readonly caller: End
  readonly entry: End
  /// What is known of the other entry.
  readonly other: OtherEntry
  readonly connection: RelayedConnection
  readonly onReturned: ReturnType<typeof vi.fn>
  readonly onUnreachable: ReturnType<typeof vi.fn>
  readonly onUnanswered: ReturnType<typeof vi.fn>
  readonly onEnd: ReturnType<typeof vi.fn>
  /// The connection's end at the entry that relays.
  readonly accepted: Socket
}

async function listen (): Promise<{ readonly server: Server, readonly port: number }> {
  const server = createServer({ allowHalfOpen: true })
  servers.push(server)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { server, port: (server.address() as AddressInfo).port }
}

/// Resolves once the other entry has taken the connection, or before that, if it doesn't.
async function relay (isTaken = true, expectedMs = 1): Promise<Relayed> {
  const [front, peer] = await Promise.all([listen(), listen()])
  const other = { ...createOtherEntry(`127.0.0.1:${peer.port}`), expectedMs }
  const caller = new End(connect({ port: front.port, host: '127.0.0.1', noDelay: true }))
  const [accepted] = await once(front.server, 'connection') as [Socket]
  sockets.push(accepted)
  const [onReturned, onUnreachable, onUnanswered, onEnd] = [vi.fn(), vi.fn(), vi.fn(), vi.fn()]
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
  const relayed = { caller, entry, other, connection, onReturned, onUnreachable, onUnanswered, onEnd, accepted }
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

function formatRequest (id: string, body = ''): string {
  return `POST /${id} HTTP/1.1\r\nhost: h\r\ncontent-length: ${body.length}\r\n\r\n${body}`
}

function formatResponse (status: number, fields = ''): string {
  return `HTTP/1.1 ${status} X\r\n${fields}content-length: 2\r\n\r\nok`
}

// Guards against LOST: a request waited unread at an entry that stopped, and was reset with its connection.
test.each<[string, (entry: Socket) => void]>([
  ['is reset', entry => { entry.resetAndDestroy() }],
  ['is closed', entry => { entry.destroy() }],
  ['stays silent', () => {}]
])('the other entry has not taken the connection, and it %s: the first request is served here, unread until then', async (_, end) => {
  const { caller, entry, onUnreachable, onUnanswered, accepted } = await relay(false)
  caller.socket.write(formatRequest('a1'))
  await new Promise(resolve => setTimeout(resolve, 30))
  end(entry.socket)
  await vi.waitFor(() => expect(onUnreachable).toHaveBeenCalled())
  const served = new End(accepted)
  await served.receive(1)
  expect([entry.messages, served.messages, caller.isClosed, onUnanswered.mock.calls]).toEqual([[], ['a1'], false, []])
})

// Guards against busy entries that pass no connections on to one that is less busy, and needs a moment to take them.
test('the other entry is busy and takes the connection late: the connection is relayed', async () => {
  const { caller, entry, onUnreachable } = await relay(false, 500)
  caller.socket.write(formatRequest('a1'))
  await new Promise(resolve => setTimeout(resolve, 450))
  entry.socket.write(Buffer.of(RelayWord.taken))
  await entry.receive(1)
  expect(onUnreachable).not.toHaveBeenCalled()
})

const pipelined = ['a1', 'a2', 'a3'].map(id => formatRequest(id)).join('')

// Guards against LOST: requests that were pipelined behind a response that closes the connection were run, unanswered.
test.each([
  ['in one piece', [pipelined]],
  ['cut within a head', [pipelined.slice(0, 60), pipelined.slice(60)]],
  ['after a body', [formatRequest('a0', 'hello') + pipelined]]
])('pipelined requests, %s: the other entry gets none behind a response that closes the connection', async (_, pieces) => {
  const { caller, entry, onReturned } = await relay()
  for (const piece of pieces) {
    caller.socket.write(piece)
    await vi.waitFor(() => expect(entry.messages.length).toBe(1))
  }
  entry.socket.end(formatResponse(200, 'connection: close\r\n'))
  await vi.waitFor(() => expect(onReturned).toHaveBeenCalled())
  await caller.receive(1)
  expect([caller.messages, caller.isClosed]).toEqual([['200'], false])
  expect(entry.messages.length).toBe(1)
})

test('pipelined requests are answered one after the other', async () => {
  const { caller, entry } = await relay()
  caller.socket.write(pipelined)
  for (let i = 1; i <= 3; i++) {
    await entry.receive(i)
    expect(entry.messages.length).toBe(i)
    entry.socket.write(formatResponse(200 + i))
  }
  await caller.receive(3)
  expect([entry.messages, caller.messages]).toEqual([['a1', 'a2', 'a3'], ['201', '202', '203']])
})

// Guards against LOST: a change of the configuration or a stop ended the connection after the response to the first.
test('drained while pipelined requests are under way: those behind the first are served here', async () => {
  const { caller, entry, connection, onReturned, accepted } = await relay()
  let served: End | null = null
  onReturned.mockImplementation(() => { served = new End(accepted) })
  caller.socket.write(pipelined)
  await entry.receive(1)
  connection.drain()
  entry.socket.write(formatResponse(200))
  await vi.waitFor(() => expect(served?.messages).toEqual(['a2', 'a3']))
  expect(onReturned).toHaveBeenCalledWith(true)
  expect([entry.messages, caller.messages]).toEqual([['a1'], ['200']])
})

// Guards against LOST: an answer on its way was lost, as the connection was reset with bytes of the caller unread.
test.each<[string, (relayed: Relayed) => void]>([
  ['ends', ({ entry }) => entry.socket.end(formatResponse(503, 'connection: close\r\n'))],
  ['resets', ({ entry: { socket } }) => socket.write(formatResponse(503, 'connection: close\r\n'), () => {
    setTimeout(() => socket.resetAndDestroy(), 20)
  })]
])('a request is refused before its body has arrived, and the other entry %s: the response arrives, and the connection isn\'t reset', async (_, refuse) => {
  const relayed = await relay()
  const { caller, entry, onEnd } = relayed
  caller.socket.write('POST /a1 HTTP/1.1\r\nhost: h\r\ncontent-length: 99000000\r\n\r\n')
  const writing = setInterval(() => { if (caller.socket.writable) caller.socket.write(Buffer.alloc(50_000)) }, 1)
  await entry.receive(1)
  refuse(relayed)
  caller.socket.once('end', () => clearInterval(writing))
  await vi.waitFor(() => expect(caller.isClosed).toBe(true), { timeout: 3000 }).finally(() => clearInterval(writing))
  expect([caller.messages, caller.isReset]).toEqual([['503'], false])
  expect(onEnd).toHaveBeenCalledWith(null)
})

// Guards against sound requests that were refused as too old: they counted as arrived when the connection was opened.
test.each([
  ['has taken it: the next call arrives long after the opening', true, true],
  ['has not taken it: the call may have arrived with the opening', false, false]
])('drained before the first request, the other entry %s', async (_, isTaken, isLate) => {
  const { caller, connection, onReturned } = await relay(isTaken)
  connection.drain()
  caller.socket.write(formatRequest('a1'))
  await vi.waitFor(() => expect(onReturned.mock.calls).toEqual([[isLate]]))
})

// Guards against LOST: a drain between two parts of a request cut it off, or served its rest here.
test.each([
  ['its head', formatRequest('a1').slice(0, 12), formatRequest('a1').slice(12)],
  ['its body', formatRequest('a1', 'hello').slice(0, -3), 'llo']
])('drained within a request, between two parts of %s: the other entry gets it whole, and the next one is served here', async (_, part, rest) => {
  const { caller, entry, connection, onReturned, accepted } = await relay()
  let served: End | null = null
  onReturned.mockImplementation(() => { served = new End(accepted) })
  caller.socket.write(part)
  await vi.waitFor(() => expect(entry.text).toContain(part))
  connection.drain()
  caller.socket.write(rest + formatRequest('a2'))
  await vi.waitFor(() => expect(entry.text).toContain(part + rest))
  entry.socket.write(formatResponse(200))
  await vi.waitFor(() => expect(served?.messages).toEqual(['a2']))
  expect([entry.messages, caller.messages]).toEqual([['a1'], ['200']])
})

// Guards against requests that cross the close of an entry that stops, if no report of the stop has arrived.
test('the other entry says that it stops while no request is under way: the next one is served here', async () => {
  const { caller, entry, onReturned, accepted } = await relay()
  onReturned.mockImplementation(() => new End(accepted))
  caller.socket.write(formatRequest('a1'))
  await entry.receive(1)
  entry.socket.write(formatResponse(200))
  await caller.receive(1)
  entry.socket.write(Buffer.of(RelayWord.stopping))
  await vi.waitFor(() => expect(entry.socket.readableEnded).toBe(true))
  caller.socket.write(formatRequest('a2'))
  await vi.waitFor(() => expect(onReturned).toHaveBeenCalled())
  expect([entry.messages, caller.messages, caller.text.includes('\x04')]).toEqual([['a1'], ['200'], false])
})

test('the other entry says that it stops right behind a response: the caller gets the response only', async () => {
  const { caller, entry, onReturned } = await relay()
  caller.socket.write(formatRequest('a1'))
  await entry.receive(1)
  entry.socket.write(Buffer.concat([Buffer.from(formatResponse(200)), Buffer.of(RelayWord.stopping)]))
  await vi.waitFor(() => expect(entry.socket.readableEnded).toBe(true))
  caller.socket.write(formatRequest('a2'))
  await vi.waitFor(() => expect(onReturned).toHaveBeenCalled())
  expect(caller.text).toBe(formatResponse(200))
})

test.each<[string, Buffer[]]>([
  ['in parts', [Buffer.of(RelayWord.stopping), Buffer.from(formatResponse(200))]],
  ['at once', [Buffer.concat([Buffer.of(RelayWord.stopping), Buffer.from(formatResponse(200))])]]
])('the other entry says that it stops and answers a request that crosses this, %s: the response arrives', async (_, parts) => {
  const { caller, entry, onReturned, onUnanswered, accepted } = await relay()
  let served: End | null = null
  onReturned.mockImplementation(() => { served = new End(accepted) })
  caller.socket.write(pipelined)
  await entry.receive(1)
  for (const part of parts) {
    entry.socket.write(part)
    await new Promise(resolve => setTimeout(resolve, 20))
  }
  await vi.waitFor(() => expect(served?.messages).toEqual(['a2', 'a3']))
  expect([entry.messages, caller.text, onUnanswered.mock.calls]).toEqual([['a1'], formatResponse(200), []])
})

test('drained, and no request comes: the connection is closed after the idle timeout', async () => {
  const { caller, entry, connection, onReturned, onEnd } = await relay()
  caller.socket.write(formatRequest('a1'))
  await entry.receive(1)
  entry.socket.write(formatResponse(200))
  await caller.receive(1)
  connection.drain()
  await vi.waitFor(() => expect(entry.socket.readableEnded).toBe(true))
  expect(caller.isClosed).toBe(false)
  await vi.waitFor(() => expect(caller.isClosed).toBe(true))
  expect([caller.isReset, onReturned.mock.calls, onEnd.mock.calls]).toEqual([false, [], [[null]]])
})

// Guards against connections that both entries leave open, and against requests that cross a close of the other entry.
test.each([
  ['is opened', 0],
  ['has had a response', 1]
])('no request comes after the connection %s: it is closed after the idle timeout', async (_, requestCount) => {
  const { caller, entry, onUnanswered, onEnd } = await relay()
  for (let i = 0; i < requestCount; i++) {
    caller.socket.write(formatRequest('a1'))
    await entry.receive(1)
    entry.socket.write(formatResponse(200))
    await caller.receive(1)
  }
  await new Promise(resolve => setTimeout(resolve, idleTimeoutMs * 0.8))
  expect(caller.isClosed).toBe(false)
  await vi.waitFor(() => expect(caller.isClosed).toBe(true))
  expect([caller.isReset, onUnanswered.mock.calls, onEnd.mock.calls]).toEqual([false, [], [[null]]])
})

test.each([
  ['a response is awaited', formatRequest('a1')],
  ['a part of a request was sent', formatRequest('a1').slice(0, 12)]
])('%s for longer than the idle timeout: the connection stays', async (_, sent) => {
  const { caller, entry } = await relay()
  caller.socket.write(sent)
  await vi.waitFor(() => expect(entry.text).toContain(sent))
  await new Promise(resolve => setTimeout(resolve, idleTimeoutMs * 3))
  expect([caller.isClosed, entry.socket.readableEnded]).toEqual([false, false])
})

test('requests that come before the idle timeout are served for as long as they come', async () => {
  const { caller, entry } = await relay()
  for (let i = 1; i <= 8; i++) {
    caller.socket.write(formatRequest(`a${i}`))
    await entry.receive(i)
    entry.socket.write(formatResponse(200))
    await caller.receive(i)
    await new Promise(resolve => setTimeout(resolve, idleTimeoutMs * 0.7))
  }
  expect(caller.isClosed).toBe(false)
})

test('a caller that sends much behind a request is not read until the response is complete', async () => {
  const { caller, entry, accepted } = await relay()
  caller.socket.write(formatRequest('a1') + 'x'.repeat(1_000_000))
  await entry.receive(1)
  await vi.waitFor(() => expect(accepted.isPaused()).toBe(true))
  entry.socket.write(formatResponse(200))
  await vi.waitFor(() => expect(entry.text.length).toBeGreaterThan(1_000_000))
})

const ended = { callId: 'a1', isWhole: true, heldBytes: 0, reason: 'the entry ended the connection' }
const lost = { ...ended, status: 502 }

// Guards against requests without a response of which no log says anything.
test.each<[string, string, (relayed: Relayed) => void, Record<string, unknown>]>([
  ['no response', formatRequest('a1'), ({ entry }) => entry.socket.end(), lost],
  ['a part of a response', formatRequest('a1'), ({ entry }) => entry.socket.end(formatResponse(200).slice(0, -1)), ended],
  ['no response to a part of a request', formatRequest('a1', 'hello').slice(0, -1), ({ entry }) => entry.socket.end(), { ...lost, isWhole: false }],
  ['no response, while others wait, which are served here', pipelined, ({ entry }) => entry.socket.end(), lost],
  ['no response to a part of a request, by a reset', formatRequest('a1', 'hello').slice(0, -1), ({ entry }) => entry.socket.resetAndDestroy(), {
    ...lost, isWhole: false, reason: 'read ECONNRESET'
  }],
  ['the last response, by a list of options, while others wait', pipelined, ({ entry }) => entry.socket.end(formatResponse(200, 'connection: x, close\r\n')), {
    callId: null,
    isWhole: true,
    heldBytes: formatRequest('a2').length * 2,
    reason: 'the response before closes the connection'
  }],
  ['no response, as it is aborted', formatRequest('a1'), ({ connection }) => connection.abort('why'), { ...ended, reason: 'why' }],
  ['no response, as it is reset', formatRequest('a1'), ({ entry }) => entry.socket.resetAndDestroy(), { ...lost, reason: 'read ECONNRESET' }]
])('the connection ends with %s: this is reported', async (_, sent, end, unanswered) => {
  const relayed = await relay()
  relayed.caller.socket.write(sent)
  await relayed.entry.receive(1)
  await vi.waitFor(() => expect(relayed.entry.text).toMatch(/\n\r\n/))
  end(relayed)
  await vi.waitFor(() => expect(relayed.onEnd).toHaveBeenCalled())
  expect(relayed.onUnanswered.mock.calls).toEqual([[unanswered]])
})

test.each<[string, (relayed: Relayed) => void]>([
  ['after a response', ({ entry }) => entry.socket.end(formatResponse(200))],
  ['after a response without a length', ({ entry }) => entry.socket.end('HTTP/1.1 200 OK\r\n\r\nok')],
  ['as the caller leaves', ({ caller }) => caller.socket.end()]
])('the connection ends %s: no request is reported', async (_, end) => {
  const relayed = await relay()
  relayed.caller.socket.write(formatRequest('a1'))
  await relayed.entry.receive(1)
  end(relayed)
  await vi.waitFor(() => expect(relayed.onEnd).toHaveBeenCalled())
  expect(relayed.onUnanswered).not.toHaveBeenCalled()
})

// Guards against LOST: what was read behind the last response of an entry that stops was dropped.
test('requests held behind a response with which the other entry closes its connection are served here', async () => {
  const { caller, entry, onReturned, onUnanswered } = await relay()
  caller.socket.write(pipelined)
  await entry.receive(1)
  entry.socket.end(formatResponse(503, 'connection: close\r\n'))
  await caller.receive(1)
  expect(caller.text).not.toMatch(/connection: close/)
  await vi.waitFor(() => expect(onUnanswered.mock.calls.length + onReturned.mock.calls.length).toBe(1))
  expect([onUnanswered.mock.calls, onReturned.mock.calls.length]).toEqual([[], 1])
})

const interim = 'HTTP/1.1 100 Continue\r\n\r\n'
const last = formatResponse(503, 'connection: close\r\n')

// Guards against LOST: what was read behind a last response was dropped, if its head didn't come at once and by itself.
test.each<[string, string[]]>([
  ['in two pieces', [last.slice(0, 30), last.slice(30)]],
  ['cut at the end of its head', [last.slice(0, -3), last.slice(-3)]],
  ['byte by byte', [...last]],
  ['behind an interim response', [interim + last]],
  ['after an interim response', [interim, last]],
  ['in a piece with an interim response', [interim + last.slice(0, 30), last.slice(30)]]
])('requests are held behind a last response, which comes %s: they are served here', async (_, pieces) => {
  const { caller, entry, onReturned, onUnanswered, accepted } = await relay()
  let served: End | null = null
  onReturned.mockImplementation(() => { served = new End(accepted) })
  caller.socket.write(pipelined)
  await entry.receive(1)
  entry.socket.setNoDelay()
  for (const piece of pieces) {
    entry.socket.write(piece)
    await new Promise(resolve => setTimeout(resolve, 5))
  }
  entry.socket.end()
  await vi.waitFor(() => expect(served?.messages).toEqual(['a2', 'a3']))
  expect(onUnanswered).not.toHaveBeenCalled()
  const expected = (pieces[0]!.startsWith(interim) ? interim : '') + formatResponse(503)
  await vi.waitFor(() => expect(caller.text).toBe(expected))
})

test('bytes of the other entry show that it is not lost', async () => {
  const { caller, entry, other } = await relay()
  other.unansweredQueries = 9
  caller.socket.write(formatRequest('a1'))
  await entry.receive(1)
  entry.socket.write(formatResponse(200))
  await caller.receive(1)
  expect(other.unansweredQueries).toBeLessThan(5)
})

const chunkedHead = 'HTTP/1.1 200 X\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n'

// Guards against LOST: a request that crossed the head of the last response was dropped when the response ended.
test('a request crosses the head of a stream that says `close`: it is served here when the stream ends', async () => {
  const { caller, entry, onReturned, onUnanswered, accepted } = await relay()
  let served: End | null = null
  onReturned.mockImplementation(() => { served = new End(accepted) })
  caller.socket.write(formatRequest('a1'))
  await entry.receive(1)
  entry.socket.write(chunkedHead + '1\r\nx\r\n')
  await vi.waitFor(() => expect(caller.text).toMatch(/x\r\n$/))
  caller.socket.write(formatRequest('a2'))
  await new Promise(resolve => setTimeout(resolve, 20))
  entry.socket.end('0\r\n\r\n')
  await vi.waitFor(() => expect(served?.messages).toEqual(['a2']))
  expect([caller.isClosed, entry.messages, onUnanswered.mock.calls]).toEqual([false, ['a1'], []])
})

test.each<[string, string, string]>([
  ['asked for by the caller', 'POST /a1 HTTP/1.1\r\nhost: h\r\nConnection: close\r\ncontent-length: 0\r\n\r\n', formatResponse(200, 'connection: close\r\n')],
  ['of a response without a length', formatRequest('a1'), 'HTTP/1.1 200 X\r\nconnection: close\r\n\r\nok'],
  ['of a rejection', formatRequest('a1'), formatResponse(400, 'connection: close\r\n')]
])('the close %s is passed on, and the connection ends', async (_, request, response) => {
  const { caller, entry, onUnanswered } = await relay()
  caller.socket.write(request)
  await entry.receive(1)
  entry.socket.end(response)
  await vi.waitFor(() => expect(caller.isClosed).toBe(true))
  expect([caller.text, caller.isReset, onUnanswered.mock.calls]).toEqual([response, false, []])
})

// Guards against requests hidden in a malformed one, whose end the other entry may see elsewhere.
test('what was read behind a rejected request is not served', async () => {
  const { caller, entry, onReturned, onUnanswered } = await relay()
  caller.socket.write(pipelined)
  await entry.receive(1)
  entry.socket.end(formatResponse(400, 'connection: close\r\n'))
  await vi.waitFor(() => expect(caller.isClosed).toBe(true))
  expect([caller.messages, onReturned.mock.calls.length, onUnanswered.mock.calls.length]).toEqual([['400'], 0, 1])
})

// Guards against connections that are never closed, as neither entry can write on.
test('a caller that stops reading a response does not keep its connections for good, and this is reported', async () => {
  const { caller, entry, accepted, onUnanswered, onEnd } = await relay()
  caller.socket.write(formatRequest('a1'))
  await entry.receive(1)
  vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval', 'performance'] })
  try {
    caller.socket.pause()
    entry.socket.write('HTTP/1.1 200 X\r\ncontent-length: 99000000\r\n\r\n')
    entry.socket.write(Buffer.alloc(64 * 1024 * 1024))
    while (accepted.writableLength === 0) await new Promise(resolve => setImmediate(resolve))
    for (let i = 0; i < 500; i++) await new Promise(resolve => setImmediate(resolve))
    await vi.advanceTimersByTimeAsync(28_000)
    expect(accepted.destroyed).toBe(false)
    await vi.advanceTimersByTimeAsync(6000)
    expect(accepted.destroyed).toBe(true)
  } finally {
    vi.useRealTimers()
  }
  await vi.waitFor(() => expect(onEnd).toHaveBeenCalled())
  expect(onUnanswered.mock.calls).toEqual([[{ callId: 'a1', isWhole: true, heldBytes: 0, reason: 'the caller stopped reading' }]])
})
