import type { Socket } from 'node:net'
import { afterEach, describe, expect, test, vi } from 'vitest'
import type { EntryHarness } from './harness.js'
import { open } from './rawcaller.js'
import { RawUpstream } from './rawupstream.js'

// Guards against callers that lose their connection, or get no response, when an instance responds before it has read
// the body, closes a connection between two requests, or sends more than one response.

const bodyBytes = 300_000
const text = 'text'

let upstream: RawUpstream
let entry: EntryHarness
let caller: Socket

afterEach(async () => {
  caller.destroy()
  upstream.close()
  await entry.close()
})

const format = (status: string, id: string, fields = ''): string =>
  `HTTP/1.1 ${status}\r\nattempt-id: ${id}\r\nserver-signature: s\r\n${fields}content-length: ${text.length}\r\n\r\n${text}`

/// Handles a request of which the instance has read the head, and the first bytes of the body.
type Respond = (id: string, requestNumber: number, socket: Socket) => void

const readLaterMs = 20

const afterEarlyResponse: Record<string, (socket: Socket, response: string) => void> = {
  'reads the body later': (socket, response) => {
    socket.pause().write(response)
    setTimeout(() => socket.resume(), readLaterMs)
  },
  'ends the connection': (socket, response) => { socket.pause().end(response) },
  'resets the connection': (socket, response) => { socket.pause().write(response, () => socket.resetAndDestroy()) }
}

const earlyResponses: [string, string, number][] = [
  ['200 OK', '', 200],
  ['400 Bad Request', '', 400],
  ['500 Error', '', 500],
  ['200 OK', 'connection: close\r\n', 200],
  ['503 Full', 'not-executed: 1\r\n', 503]
]

const paths = ['/charge/1', '/check/1', '/chat/1']

async function start (respond: Respond): Promise<void> {
  upstream = new RawUpstream(respond)
  entry = await upstream.startEntry(['tools-0', 'tools-1', 'models-0', 'models-1'])
  caller = await open(entry.address)
}

/// Sends a call on the caller's connection, and returns the status once its response has come.
async function call (path: string, id: string): Promise<number> {
  let received = ''
  const onData = (chunk: Buffer): void => { received += chunk.toString('latin1') }
  caller.on('data', onData)
  caller.write(`POST ${path} HTTP/1.1\r\nhost: demo.example\r\nattempt-id: ${id}\r\ndeadline-ms: 4000\r\ncontent-length: ${bodyBytes}\r\n\r\n`)
  caller.write('x'.repeat(bodyBytes))
  await vi.waitFor(() => expect(received).toMatch(new RegExp(`attempt-id: ${id}\r\n[^]*\r\n\r\n.`, 'i')), 4000)
  caller.off('data', onData)
  expect(received.match(/HTTP\/1\.1 /g)).toHaveLength(1)
  return Number(received.slice(9, 12))
}

async function callAll (): Promise<number[]> {
  const statuses: number[] = []
  for (const [index, path] of paths.entries()) {
    for (const number of [0, 1]) statuses.push(await call(path, `a${index}b${number}`))
  }
  expect(caller.destroyed).toBe(false)
  return statuses
}

describe.each(Object.entries(afterEarlyResponse))('an instance responds before it has read the body, and %s', (_, send) => {
  test.each(earlyResponses)('%s %s: the caller gets a response, and keeps its connection', async (status, fields, code) => {
    await start((id, _number, socket) => send(socket, format(status, id, fields)))
    // After a reset it depends on the order of events whether the response is read.
    const expected = send === afterEarlyResponse['resets the connection'] ? [code, 502] : [code]
    for (const received of await callAll()) expect(expected).toContain(received)
  })
})

test.each<[string, Respond]>([
  ['closes an idle connection that it said it would keep', (id, _, socket) => {
    socket.write(format('200 OK', id, 'keep-alive: timeout=5\r\n'), () => setImmediate(() => socket.end()))
  }],
  ['says that it keeps connections for no time', (id, _, socket) => { socket.write(format('200 OK', id, 'keep-alive: timeout=0\r\n')) }],
  ['keeps a connection that it said it would close', (id, _, socket) => { socket.write(format('200 OK', id, 'connection: close\r\n')) }],
  ['sends a second response with the first one', (id, _, socket) => { socket.write(format('200 OK', id).repeat(2)) }],
  ['sends informational responses first', (id, _, socket) => {
    socket.write(`HTTP/1.1 103 Early Hints\r\nlink: l\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n${format('200 OK', id)}`)
  }]
])('an instance %s: every call gets its response', async (_, respond) => {
  await start(respond)
  expect(new Set(await callAll())).toEqual(new Set([200]))
})

test.each<[string, Respond]>([
  ['ends the connection without a response', (_id, _, socket) => { socket.end() }],
  ['ends the connection within the head', (_id, _, socket) => { socket.end('HTTP/1.1 200 OK\r\nattempt') }],
  ['ends the connection within the body', (id, _, socket) => { socket.end(format('200 OK', id).slice(0, -1)) }],
  ['resets the connection', (_id, _, socket) => { socket.resetAndDestroy() }],
  ['sends a response of another call first', (id, _, socket) => { socket.write(format('200 OK', 'other') + format('200 OK', id)) }]
])('an instance %s: the caller is told that the call may have run, and keeps its connection', async (_, respond) => {
  await start(respond)
  expect(new Set(await callAll())).toEqual(new Set([502]))
})
