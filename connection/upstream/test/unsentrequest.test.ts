import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, expect, test, vi } from 'vitest'
import { InstanceClient } from '#connection/upstream'

// An instance that answers before it has read the request. Guards against a part of a response that is taken for all of
// it, and against requests that are kept in memory for an instance that doesn't read on.

/// More than the operating system holds.
const body = Buffer.alloc(64 * 1024 * 1024)
const inPieces = Array.from({ length: 16 }, (_, i) => body.subarray(i * body.length / 16, (i + 1) * body.length / 16))
const bodies: [string, readonly Buffer[]][] = [['one piece', [body]], ['several pieces', inPieces]]
let server: Server
let client: InstanceClient
let sockets: Socket[]

afterEach(() => {
  client.close()
  for (const socket of sockets) socket.destroy()
  server.close()
})

async function send (body: readonly Buffer[], respond: (socket: Socket) => void): Promise<string> {
  sockets = []
  server = createServer({ allowHalfOpen: true }, socket => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.once('data', () => {
      socket.pause()
      respond(socket)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  client = new InstanceClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1)
  return await new Promise(resolve => client.send({ method: 'POST', path: '/', headers: [], body }, {
    onHead: () => {},
    onData: () => {},
    onEnd: () => resolve('complete'),
    onError: ({ mayHaveRun }) => resolve(mayHaveRun ? 'failed, may have run' : 'failed')
  }))
}

test.each(bodies)('a response without a length that ends before its request of %s was sent is not complete', async (_, pieces) => {
  expect(await send(pieces, socket => socket.end('HTTP/1.1 200 OK\r\n\r\na part'))).toBe('failed, may have run')
})

test.each(bodies)('a response with a length to a request of %s is complete, and the connection is closed', async (_, pieces) => {
  expect(await send(pieces, socket => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole'))).toBe('complete')
  const [socket] = sockets
  socket!.resume()
  await vi.waitFor(() => expect(socket!.readableEnded || socket!.destroyed).toBe(true))
})
