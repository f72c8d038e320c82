import { randomBytes } from 'node:crypto'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { sleep } from '#process/clock'
import { EntryHarness } from './harness.js'

/// What an instance writes to a request: given its call id, its number and its connection.
type Write = (callId: string, number: number, socket: Socket) => void

const longBody = 'x'.repeat(2 * 1024 * 1024)
let server: Server
let entry: EntryHarness
/// All bytes that came on each connection.
let received: Buffer[][]

afterEach(async () => {
  await entry.close()
  server.close()
})

/// Starts an entry before an instance, under one or more ids, that writes what it is told to.
async function start (write: Write, ids = ['tools-0']): Promise<void> {
  received = []
  let number = 0
  server = createServer(socket => {
    const chunks: Buffer[] = []
    received.push(chunks)
    socket.on('error', () => {})
    socket.on('data', chunk => {
      chunks.push(chunk)
      const callId = /^attempt-id: (\w+)\r$/im.exec(chunk.toString('latin1'))?.[1]
      if (callId !== undefined) write(callId, number++, socket)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  entry = new EntryHarness(ids.map(id => ({ id, address })))
  await entry.listen()
}

function answerTo (callId: string, body: string, length = body.length): string {
  return `HTTP/1.1 200 OK\r\nattempt-id: ${callId}\r\nserver-signature: s\r\ncontent-length: ${length}\r\n\r\n${body}`
}

test.each<[string, Write]>([
  ['bytes that are no answer', (_, __, socket) => socket.write('hello there\r\n\r\n')],
  ['an answer to another call', (_, __, socket) => socket.write(answerTo('other', 'theirs'))],
  ['an answer that names no call', (_, __, socket) => socket.write('HTTP/1.1 200 OK\r\nserver-signature: s\r\ncontent-length: 2\r\n\r\nno')],
  ['an answer that isn\'t signed', (id, _, socket) => socket.write(`HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\ncontent-length: 2\r\n\r\nno`)],
  ['an encoded answer', (id, _, socket) => socket.write(`HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nserver-signature: s\r\ncontent-encoding: gzip\r\ncontent-length: 2\r\n\r\nno`)],
  ['an answer cut short', (id, _, socket) => socket.end(answerTo(id, 'half', 8))],
  ['an end without an answer', (_, __, socket) => socket.end()]
])('%s doesn\'t reach the caller, and nothing is promised', async (_, write) => {
  await start(write)
  const seen = await entry.call('/charge/1').catch(() => null)
  expect([502, 504, undefined]).toContain(seen?.status)
})

test.each<[string, (id: string) => string]>([
  ['a second answer at once', id => answerTo(id, 'first') + answerTo(id, 'second')],
  ['more bytes than its length says', id => `${answerTo(id, 'first')}and more`]
])('%s: the first is passed on, the rest belongs to no call', async (_, bytes) => {
  await start((id, number, socket) => socket.write(number === 0 ? bytes(id) : answerTo(id, `own ${number}`)))
  expect((await entry.call('/charge/1')).body).toBe('first')
  for (const number of [1, 2]) expect((await entry.call('/charge/1')).body).toBe(`own ${number}`)
})

test('a second answer that comes late is not taken for the next call\'s', async () => {
  await start((id, number, socket) => {
    socket.write(answerTo(id, `own ${number}`))
    if (number === 0) setTimeout(() => socket.write(answerTo(id, 'late')), 20)
  })
  await entry.call('/charge/1')
  await sleep(40)
  expect((await entry.call('/charge/1')).body).toBe('own 1')
})

test('an answer before the body is read: where the rest is due come no other bytes', async () => {
  await start((id, number, socket) => {
    if (number === 0) socket.pause()
    socket.write(answerTo(id, `own ${number}`))
    if (number === 0) setTimeout(() => socket.resume(), 60)
  })
  const early = await entry.call('/charge/1', {}, 'POST', longBody)
  const next = await entry.call('/charge/1', { 'attempt-id': randomBytes(8).toString('hex') }, 'POST', 'next')
  await sleep(120)
  expect([early.status, next.body]).toEqual([200, 'own 1'])
  const first = Buffer.concat(received[0]!).toString('latin1')
  const body = first.slice(first.indexOf('\r\n\r\n') + 4, first.indexOf('\r\n\r\n') + 4 + longBody.length)
  expect(body).toBe('x'.repeat(body.length))
})

// The events before the gap counted as handed over and were not written, so the resumed stream lacked them.
test('a gap within one piece of a stream: what came before it is passed on, the rest comes from elsewhere', async () => {
  const event = (id: number): string => `id: ${id}\ndata: ${id}\n\n`
  const head = (id: string): string => `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nserver-signature: s\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n`
  await start((id, number, socket) => {
    if (number === 0) socket.write(`${head(id)}${event(1)}${event(2)}${event(4)}`)
    else socket.end(`${head(id)}${event(3)}${event(4)}`)
  }, ['models-0', 'models-1'])
  expect((await entry.call('/query/1')).body).toBe([1, 2, 3, 4].map(event).join(''))
})
