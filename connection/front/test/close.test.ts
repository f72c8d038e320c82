import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { once } from 'node:events'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { FrontServer } from '#connection/front'

const request = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n'

let server: FrontServer
let port: number
let socket: Socket

beforeEach(async () => {
  server = new FrontServer({
    serve: async exchange => exchange.respond(200, {}, Buffer.from('ok'), false),
    onMalformed: () => {},
    onDropped: () => {},
    onAccepting: () => {},
    getDelayMs: () => 0
  })
  port = Number(new URL(await server.listen('127.0.0.1:0')).port)
})

afterEach(async () => {
  socket.destroy()
  await server.close()
})

async function readUntilClosed (): Promise<string> {
  let text = ''
  socket.on('data', chunk => { text += chunk.toString('latin1') })
  socket.on('error', () => {})
  if (!socket.closed) await once(socket, 'close')
  return text
}

/// Blocks the event loop until what was written has arrived.
function block (): void {
  const startedAtMs = performance.now()
  while (performance.now() - startedAtMs < 30);
}

// Guards against requests without a response at a planned stop: a process that was busy closed connections before it
// read what had arrived on them.
test.each([
  ['on a connection that was used before', true],
  ['on a new connection', false]
])('a request that has arrived %s when the server closes is answered', async (_, isUsed) => {
  socket = connect(port, '127.0.0.1')
  await once(socket, 'connect')
  if (isUsed) {
    socket.write(request)
    await once(socket, 'data')
  }
  const text = readUntilClosed()
  socket.write(request)
  block()
  const closing = server.close()
  expect(await text).toMatch(/^HTTP\/1\.1 200 .*ok$/s)
  await closing
})
