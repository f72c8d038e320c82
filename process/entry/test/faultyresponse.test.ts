import type { Socket } from 'node:net'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { EntryHarness } from './harness.js'
import { open } from './rawcaller.js'
import { RawUpstream } from './rawupstream.js'
import type { WriteResponse } from './rawupstream.js'
import { startRelayingEntry } from './relayingentry.js'

// Guards against callers that take a part of a response for all of it, or get a status that is none: an instance
// answers a request whose body is still being sent, and fails. The caller is connected to the entry that sends the
// request to the instance, or to another one that relays its connection.

const partialBody = 'a part of the response'
/// Up to the largest that the configuration allows.
const bodySizes = [200, 60_000, 300_000, 1_000_000, 4_194_304]
const delaysMs = [0, 1, 3, 10, 20, 30]
const maxWaitMs = 4000

let upstream: RawUpstream
let entry: EntryHarness
/// It relays all connections to the other one.
let relaying: EntryHarness
let respond: WriteResponse

beforeEach(async () => {
  upstream = new RawUpstream((...args) => respond(...args))
  entry = await upstream.startEntry(['tools-0', 'tools-1', 'models-0', 'models-1'])
  relaying = await startRelayingEntry(entry)
})

afterEach(async () => {
  vi.restoreAllMocks()
  upstream.close()
  await Promise.all([entry.close(), relaying.close()])
})

interface Received {
  readonly text: string
  /// Whether the connection ended in order, so that a response without a length is complete.
  readonly isEnded: boolean
}

/// Sends a call whose connection closes with its response, and returns what has come until then. The instance reads
/// from the call id after which delay its connection fails.
async function call (address: string, path: string, bodyBytes: number, delayMs = 0): Promise<Received> {
  const socket = await open(address)
  const chunks: Buffer[] = []
  let isEnded = false
  let isReset = false
  socket.on('data', chunk => chunks.push(chunk))
  socket.on('error', () => { isReset = true })
  // Node reports a reset that arrives with the last bytes as an ordinary end; the socket has no remote address then.
  socket.on('end', () => { isEnded = socket.remoteAddress !== undefined })
  socket.write(`POST ${path} HTTP/1.1\r\nhost: demo.example\r\nattempt-id: d${delayMs}x${Math.random().toString(36).slice(2)}\r\n` +
    `deadline-ms: ${maxWaitMs}\r\nconnection: close\r\ncontent-length: ${bodyBytes}\r\n\r\n`)
  socket.write(Buffer.alloc(bodyBytes, 'x'))
  await new Promise(resolve => { socket.on('close', resolve) })
  return { text: Buffer.concat(chunks).toString('latin1'), isEnded: isEnded && !isReset }
}

/// The status of a response that its caller takes for complete; null without one.
function findCompleteStatus ({ text, isEnded }: Received): string | null {
  const end = text.indexOf('\r\n\r\n')
  if (end < 0) return null
  const head = text.slice(0, end + 2)
  const body = text.slice(end + 4)
  const status = head.split(' ')[1] ?? ''
  const length = /^content-length: (\d+)/im.exec(head)?.[1]
  if (length !== undefined) return body.length >= Number(length) ? status : null
  if (/^transfer-encoding: chunked/im.test(head)) return body.endsWith('0\r\n\r\n') ? status : null
  return isEnded ? status : null
}

const addresses = (): [string, string][] => [['to the entry', entry.address], ['relayed', relaying.address]]

interface Failure {
  readonly name: string
  readonly isReading: boolean
  readonly fail: (socket: Socket) => void
  readonly minBodyBytes: number
}

/// The ways in which a connection fails. One that is closed with bytes that were not read is reset by the operating
/// system; of a body that was read whole there are none, and the end of the connection is that of the response.
const failures: Failure[] = [
  { name: 'reads no more and resets', isReading: false, fail: socket => { socket.resetAndDestroy() }, minBodyBytes: 0 },
  { name: 'reads on and resets', isReading: true, fail: socket => { socket.resetAndDestroy() }, minBodyBytes: 0 },
  { name: 'reads no more and closes', isReading: false, fail: socket => { socket.destroy() }, minBodyBytes: 300_000 }
]

const head = (id: string, type: string): string =>
  `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nserver-signature: s\r\n${type}\r\n`

const responses = [
  { path: '/charge/1', type: '', body: partialBody },
  { path: '/check/1', type: '', body: partialBody },
  { path: '/chat/1', type: 'content-type: text/event-stream\r\n', body: 'id: 1\ndata: first\n\n' },
  { path: '/query/1', type: 'content-type: text/event-stream\r\n', body: 'id: 1\ndata: first\n\n' },
  { path: '/charge/2', type: 'connection: close\r\n', body: partialBody }
]
const cases = responses.flatMap(response => failures.map(failure => ({ ...response, ...failure })))

test.each(cases)('an instance answers $path ($type) at once without a length, $name the connection: no partial response is complete', async ({ path, type, body, isReading, fail, minBodyBytes }) => {
  respond = (id, _, socket) => {
    if (!isReading) socket.pause()
    socket.write(head(id, type) + body)
    setTimeout(() => fail(socket), Number(/^d(\d+)x/.exec(id)![1]))
  }
  const completed: string[] = []
  for (const bodyBytes of bodySizes.filter(size => size >= minBodyBytes)) {
    for (const [way, address] of addresses()) {
      await Promise.all(delaysMs.map(async delayMs => {
        const status = findCompleteStatus(await call(address, path, bodyBytes, delayMs))
        if (status === '200') completed.push(`${way}, ${bodyBytes} bytes, ${delayMs} ms`)
      }))
    }
  }
  expect(completed).toEqual([])
}, 60_000)

test.each<[string, (id: string) => string, boolean]>([
  ['status 000 with a length', id => head(id, 'content-length: 5\r\n').replace('200 OK', '000 None') + 'whole', false],
  ['status 000 without a length', id => head(id, '').replace('200 OK', '000 None') + 'whole', true],
  ['status 000 and nothing else', () => 'HTTP/1.1 000 \r\n\r\n', true],
  ['status 000 and a stream', id => head(id, 'content-type: text/event-stream\r\n').replace('200 OK', '000 None') + 'data: 1\n\n', true],
  ['status 099', id => head(id, 'content-length: 5\r\n').replace('200 OK', '099 None') + 'whole', false],
  ['a status line without a status', id => head(id, 'content-length: 5\r\n').replace(' 200 OK', '') + 'whole', false],
  ['a status line with one digit', id => head(id, 'content-length: 5\r\n').replace('200 OK', '2') + 'whole', false],
  ['a status line with two digits', id => head(id, 'content-length: 5\r\n').replace('200 OK', '20') + 'whole', false],
  ['a status line with two digits and no length', id => head(id, '').replace('200 OK', '20') + 'whole', true],
  ['a status line of a version that is cut off', id => head(id, 'content-length: 5\r\n').replace('HTTP/1.1 200 OK', 'HTTP/1. 200 OK') + 'whole', false],
  ['a part of the protocol name', () => 'HTT', true],
  ['a status line up to the version', () => 'HTTP/1.1', true],
  ['a status line up to the first digit', () => 'HTTP/1.1 2', true],
  ['a status line up to the status', () => 'HTTP/1.1 200', true],
  ['a status line without its end', () => 'HTTP/1.1 200 OK\r', true],
  ['a status line and nothing else', () => 'HTTP/1.1 200 OK\r\n', true]
])('an instance answers with %s: the caller gets no such response', async (_, format, isEnding) => {
  const ends = isEnding ? ['end', 'resetAndDestroy'] as const : ['keep'] as const
  const received: Record<string, string | null> = {}
  for (const bodyBytes of [200, 300_000]) {
    for (const path of ['/charge/1', '/check/1', '/chat/1']) {
      for (const end of ends) {
        respond = (id, __, socket) => {
          socket.write(format(id))
          if (end !== 'keep') setTimeout(() => socket[end](), 5)
        }
        for (const [way, address] of addresses()) {
          received[`${way}, ${path}, ${bodyBytes} bytes, ${end}`] = findCompleteStatus(await call(address, path, bodyBytes))
        }
      }
    }
  }
  for (const [name, status] of Object.entries(received)) expect([null, '502', '503', '504'], name).toContain(status)
}, 60_000)
