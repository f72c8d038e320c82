import type { Socket } from 'node:net'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { FrontServer } from '#connection/front'
import type { Exchange } from '#connection/front'
import { RawClient } from './rawclient.js'

// More than the system's buffers hold.
const body = Buffer.alloc(32 * 1024 * 1024, 'x')
const head = 'GET / HTTP/1.1\r\nhost: h\r\n'

let front: FrontServer
let client: RawClient
let served: Socket | undefined
let serve: (exchange: Exchange) => void

beforeEach(async () => {
  vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval', 'performance'] })
  served = undefined
  front = new FrontServer({
    serve: async exchange => {
      served = exchange.connection
      serve(exchange)
    },
    onMalformed: () => {},
    onDropped: () => {},
    onAccepting: () => {},
    getDelayMs: () => 0
  })
  client = await RawClient.open(Number(new URL(await front.listen('127.0.0.1:0')).port))
  client.socket.pause()
  client.socket.removeAllListeners('data')
})

afterEach(async () => {
  vi.useRealTimers()
  client.socket.destroy()
  served?.destroy()
  await front.close()
})

const respond = (exchange: Exchange): void => exchange.respond(200, {}, body, false)

const stream = (exchange: Exchange): void => {
  exchange.startResponse(200, {}, false)
  exchange.write(body)
  exchange.end()
}

async function until (isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise(resolve => setImmediate(resolve))
}

/// Resolves when the response waits for the caller.
async function untilFull (): Promise<void> {
  await until(() => served !== undefined && served.writableLength > 0)
  for (let i = 0; i < 100; i++) await new Promise(resolve => setImmediate(resolve))
}

// Guards against connections that are never closed, as their responses are never sent whole.
test.each([
  ['its last response', 'connection: close\r\n', respond],
  ['its last stream', 'connection: close\r\n', stream],
  ['a response', '', respond],
  ['a stream', '', stream]
])('a caller that never reads %s does not keep its connection for good', async (_, field, send) => {
  serve = send
  client.socket.write(`${head}${field}\r\n`)
  await untilFull()
  await vi.advanceTimersByTimeAsync(28_000)
  expect(served!.destroyed).toBe(false)
  await vi.advanceTimersByTimeAsync(6000)
  expect(served!.destroyed).toBe(true)
})

// Guards against a limit on the whole time that the response takes.
test.each([
  ['its last response', 'connection: close\r\n', respond],
  ['its last stream', 'connection: close\r\n', stream],
  ['a response', '', respond]
])('a caller that reads %s slowly gets all of it', async (_, field, send) => {
  serve = send
  client.socket.write(`${head}${field}\r\n`)
  await untilFull()
  let receivedBytes = 0
  let nextPauseBytes = 0
  client.socket.on('data', chunk => {
    receivedBytes += chunk.length
    if (receivedBytes >= nextPauseBytes) client.socket.pause()
  })
  for (let i = 1; i <= 8; i++) {
    nextPauseBytes = body.length * i / 8
    client.socket.resume()
    await until(() => receivedBytes >= nextPauseBytes)
    if (i < 8) await vi.advanceTimersByTimeAsync(25_000)
  }
  client.socket.resume()
  await until(() => receivedBytes > body.length)
  expect(client.errorCode).toBe(null)
})
