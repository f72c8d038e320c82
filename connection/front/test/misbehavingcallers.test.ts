import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { FrontServer } from '#connection/front'
import type { ClosingReason, Exchange } from '#connection/front'

// Guards against callers whose requests take memory or time without end: what is read in one piece may hold thousands
// of requests, or of fields.

let server: FrontServer
let port: number
let caller: Socket
let received: string
let served: Exchange[]
let closings: ClosingReason[]

beforeEach(async () => {
  received = ''
  served = []
  closings = []
  server = new FrontServer({
    serve: async exchange => {
      served.push(exchange)
      exchange.respond(200, {}, Buffer.from('ok'), false)
    },
    onDropped: () => {},
    onMalformed: () => {},
    getDelayMs: () => 0,
    onAccepting: () => {},
    onClosing: reason => closings.push(reason)
  })
  port = Number(new URL(await server.listen('127.0.0.1:0')).port)
  caller = connect(port, '127.0.0.1')
  caller.on('error', () => {})
  caller.on('data', chunk => { received += chunk.toString('latin1') })
})

afterEach(async () => {
  caller.destroy()
  await server.close()
})

const request = (fields = ''): string => `GET / HTTP/1.1\r\nhost: a\r\n${fields}\r\n`

test('connections with more requests in one piece than there is memory for are closed, and others go on', async () => {
  const others = Array.from({ length: 16 }, () => connect(port, '127.0.0.1'))
  for (const other of others) other.on('error', () => {}).pause().write(request().repeat(2000))
  await vi.waitFor(() => expect(closings).toContain('too-many-pipelined-requests'))
  caller.write(request())
  await vi.waitFor(() => expect(received).toMatch(/^HTTP\/1\.1 200/), 10_000)
  for (const other of others) other.destroy()
})

test.each([[490, 200], [1000, 431]])('a head of %i fields gets status %i', async (count, status) => {
  caller.write(request(Array.from({ length: count }, (_, i) => `f${i}:\r\n`).join('')))
  await vi.waitFor(() => expect(received).toMatch(new RegExp(`^HTTP/1.1 ${status} `)))
  expect(served).toHaveLength(status === 200 ? 1 : 0)
})

test('a body without its end, behind a response: the connection is closed after a while', async () => {
  vi.useFakeTimers({ toFake: ['setTimeout'] })
  try {
    caller.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\nx')
    await vi.waitFor(() => expect(received).toMatch(/^HTTP\/1.1 200 /), { timeout: 1000 })
    await vi.waitFor(() => expect(vi.getTimerCount()).toBeGreaterThan(0))
    vi.advanceTimersByTime(10_000)
  } finally {
    vi.useRealTimers()
  }
  await vi.waitFor(() => expect(closings).toEqual(['request-not-whole-in-time']))
})
