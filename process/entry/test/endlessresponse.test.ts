import { randomBytes } from 'node:crypto'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { StandinUpstream } from '#standin/upstream'
import { EntryHarness } from './harness.js'

// Instances that send bytes without end, until their client closes the connection.

const megabyte = 1024 * 1024
const timeoutMs = 1500
/// A call must have its response this long after its timeout.
const marginMs = 500
/// What the entry's process may hold more than before, for all bad connections together.
const maxGrowthBytes = 96 * megabyte
/// An instance that has sent this much has not been stopped, and gives up.
const maxSentBytes = 1024 * megabyte

let server: Server
let healthy: StandinUpstream
let entry: EntryHarness
/// Those that a request was received on.
let sockets: Socket[]
let peakBytes: number

/// Writes `piece` again and again, as fast as the client reads, until the connection closes.
function writeWithoutEnd (socket: Socket, piece: Buffer): void {
  let sentBytes = 0
  const writeMore = (): void => {
    while (!socket.destroyed && sentBytes < maxSentBytes) {
      sentBytes += piece.length
      peakBytes = Math.max(peakBytes, readMemoryBytes())
      if (!socket.write(piece)) return
    }
  }
  socket.on('drain', writeMore)
  writeMore()
}

function readMemoryBytes (): number {
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/// Starts an instance that answers each request with `head` and then `piece` without end, a healthy one of another
/// service, and an entry that lists both.
async function startEntry (service: string, head: (callId: string) => string, piece: string): Promise<void> {
  sockets = []
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', chunk => {
      sockets.push(socket)
      const callId = /^attempt-id: (\w+)\r$/im.exec(chunk.toString('latin1'))?.[1] ?? ''
      socket.write(head(callId))
      writeWithoutEnd(socket, Buffer.from(piece.repeat(Math.ceil(65_536 / piece.length)), 'latin1'))
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const other = service === 'tools' ? 'models' : 'tools'
  healthy = new StandinUpstream({ id: `${other}-0`, eventCount: other === 'models' ? 4 : 0, firstByteDelayMs: 1, eventIntervalMs: 1 })
  entry = new EntryHarness([
    { id: `${service}-0`, address: `127.0.0.1:${(server.address() as AddressInfo).port}` },
    { id: `${other}-0`, address: await healthy.listen() }
  ])
  await entry.listen()
}

afterEach(async () => {
  for (const socket of sockets) socket.destroy()
  server.close()
  healthy.close()
  await entry.close()
})

const signedHead = (id: string): string => `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nserver-signature: s\r\n`
const streamHead = (id: string): string => `${signedHead(id)}content-type: text/event-stream\r\n\r\n`

test.each<[string, string, string, (id: string) => string, string]>([
  ['bytes that are not HTTP', 'tools', '/charge/1', () => '', 'garbage '],
  ['header lines', 'tools', '/charge/1', signedHead, 'x: y\r\n'],
  ['a header value', 'tools', '/charge/1', id => `${signedHead(id)}x: `, 'y'],
  ['a reason phrase', 'tools', '/charge/1', () => 'HTTP/1.1 200 ', 'O'],
  ['informational responses', 'tools', '/charge/1', () => '', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  ['a body without a length', 'tools', '/charge/1', id => `${signedHead(id)}\r\n`, 'z'],
  ['a body without a length, for a call that may be retried', 'tools', '/check/1', id => `${signedHead(id)}\r\n`, 'z'],
  ['a body in chunks', 'tools', '/charge/1', id => `${signedHead(id)}transfer-encoding: chunked\r\n\r\n`, '8\r\nzzzzzzzz\r\n'],
  ['a chunk extension', 'tools', '/charge/1', id => `${signedHead(id)}transfer-encoding: chunked\r\n\r\n8;`, 'z'],
  ['an event', 'models', '/chat/1', streamHead, 'z'],
  ['events', 'models', '/chat/1', streamHead, 'data: more\n\n'],
  ['events on a route without history', 'models', '/query/1', streamHead, 'data: more\n\n'],
  ['comments', 'models', '/chat/1', streamHead, ': more\n\n'],
  ['an answer to a turn that is not a stream', 'models', '/chat/1', id => `${signedHead(id)}\r\n`, 'z']
])('%s without end: memory stays bounded, the connection is closed, and other calls go on', async (_, service, path, head, piece) => {
  await startEntry(service, head, piece)
  const otherPath = service === 'tools' ? '/query/1' : '/check/1'
  const method = path.startsWith('/check') ? 'GET' : 'POST'
  const headers = { 'deadline-ms': String(timeoutMs) }
  await entry.call(otherPath, {}, otherPath === '/check/1' ? 'GET' : 'POST')
  globalThis.gc?.()
  const startBytes = peakBytes = readMemoryBytes()
  const startedAtMs = performance.now()
  const bad = Promise.all(Array.from({ length: 4 }, async () => {
    const id = randomBytes(8).toString('hex')
    const response = await entry.call(path, { ...headers, 'attempt-id': id }, method).catch(() => null)
    return { status: response?.status ?? 0, durationMs: performance.now() - startedAtMs }
  }))
  const good = await entry.call(otherPath, headers, otherPath === '/check/1' ? 'GET' : 'POST')
  expect(good.status).toBe(200)
  for (const { status, durationMs } of await bad) {
    expect([0, 502, 504]).toContain(status)
    expect(durationMs).toBeLessThan(timeoutMs + marginMs)
  }
  expect(peakBytes - startBytes).toBeLessThan(maxGrowthBytes)
  await expect.poll(() => sockets.every(socket => socket.destroyed)).toBe(true)
})
