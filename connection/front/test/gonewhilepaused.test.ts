import { connect } from 'node:net'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { FrontServer } from '../src/index.js'
import type { Exchange } from '../src/index.js'

let front: FrontServer
let served: Exchange[]
let disconnects: number

beforeEach(() => {
  served = []
  disconnects = 0
  front = new FrontServer({
    serve: async exchange => {
      served.push(exchange)
      exchange.onDisconnect(() => { disconnects++ })
      // A stream of an entry that asks its callers to leave.
      exchange.startResponse(200, {}, true)
      exchange.write(Buffer.from('a'))
    },
    onMalformed: () => {},
    onDropped: () => {},
    getDelayMs: () => 0,
    onAccepting: () => {}
  })
})

afterEach(() => front.close())

/// Rule of the users: no work for a caller that has left, half a second later.
test.each([
  { name: 'one request', count: 1 },
  { name: 'two pipelined requests', count: 2 },
  { name: 'three pipelined requests', count: 3 }
])('a caller leaves after $name while an entry asks its callers to leave: it is noticed', async ({ count }) => {
  const { port } = new URL(await front.listen('127.0.0.1:0'))
  const socket = connect({ host: '127.0.0.1', port: Number(port) })
  socket.on('error', () => {})
  socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(count))
  await vi.waitFor(() => expect(served.length).toBe(1))
  await new Promise(resolve => socket.once('data', resolve))
  socket.end()
  try {
    await vi.waitFor(() => expect(disconnects).toBe(1), { timeout: 500 })
  } finally {
    for (const exchange of served) exchange.abort()
    socket.destroy()
  }
})
