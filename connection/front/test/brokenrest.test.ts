import { once } from 'node:events'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { FrontServer } from '../src/index.js'

/// Pieces that the caller goes on sending after the response has reached it; each is read before the next one.
const pieces = 4
const pauseMs = 50

test.each([
  { name: 'a head that is too large', first: `GET / HTTP/1.1\r\nhost: a\r\nx: ${'x'.repeat(20_000)}`, status: '431' },
  { name: 'what is no request', first: 'no request\r\n', status: '400' }
])('the rest of $name does not reset the connection of its response', async ({ first, status }) => {
  const server = new FrontServer({
    serve: async () => {}, onMalformed: () => {}, onDropped: () => {}, getDelayMs: () => 0, onAccepting: () => {}
  })
  const { port } = new URL(await server.listen('127.0.0.1:0'))
  const socket = connect({ host: '127.0.0.1', port: Number(port), allowHalfOpen: true, noDelay: true })
  let error: Error | null = null
  let received = ''
  socket.on('error', caught => { error = caught })
  socket.on('data', chunk => { received += String(chunk) })
  socket.write(first)
  await once(socket, 'data')
  for (let piece = 0; piece < pieces; piece++) {
    if (socket.writable) socket.write('x'.repeat(1000))
    await sleep(pauseMs)
  }
  expect(received).toContain(status)
  expect(error).toBeNull()
  socket.destroy()
  await server.close()
})
