import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { expect, test } from 'vitest'
import { closeInOrder } from '../src/closeinorder.js'

test('a caller that never reads its last response does not keep its connection for good', async () => {
  const server = createServer({ allowHalfOpen: true })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
  client.pause()
  client.on('error', () => {})
  const [socket] = await once(server, 'connection') as [Socket]
  socket.on('error', () => {})
  // More than the system's buffers hold.
  socket.write(Buffer.alloc(32 * 1024 * 1024))
  closeInOrder(socket)
  const timeout = new Promise(resolve => setTimeout(resolve, 4000, 'open'))
  expect(await Promise.race([once(socket, 'close').then(() => 'closed'), timeout])).toBe('closed')
  client.destroy()
  server.close()
})

// Guards against a limit on the whole time that the response takes.
test('a caller that reads its last response slowly gets all of it', async () => {
  const bodyBytes = 16 * 1024 * 1024
  const server = createServer({ allowHalfOpen: true })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
  client.pause()
  const [socket] = await once(server, 'connection') as [Socket]
  socket.write(Buffer.alloc(bodyBytes))
  closeInOrder(socket)
  let receivedBytes = 0
  client.on('data', chunk => {
    receivedBytes += chunk.length
    client.pause()
  })
  const startedAtMs = performance.now()
  const reading = setInterval(() => client.resume(), 15)
  await once(client, 'end')
  clearInterval(reading)
  expect(receivedBytes).toBe(bodyBytes)
  expect(performance.now() - startedAtMs).toBeGreaterThan(4000)
  client.destroy()
  server.close()
}, 20_000)
