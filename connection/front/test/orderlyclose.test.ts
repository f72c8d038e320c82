import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { FrontServer } from '#connection/front'
import type { Exchange } from '#connection/front'
import { RawClient } from './rawclient.js'

const get = (path: string, fields = ''): string => `GET ${path} HTTP/1.1\r\nhost: h\r\n${fields}\r\n`
const postHead = 'POST /1 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'
const chunk = `400\r\n${'x'.repeat(1024)}\r\n`

/// Node waits so much longer than the idle time.
const nodeToleranceMs = 1000

let front: FrontServer
let client: RawClient
let served: string[]
let dropped: string[]
let closing: Promise<void> | undefined
let serverSocket: Socket | undefined
let serve: (exchange: Exchange) => void

beforeEach(async () => {
  served = []
  dropped = []
  closing = undefined
  serve = exchange => exchange.respond(200, {}, Buffer.from('ok'), false)
  front = new FrontServer({
    serve: async exchange => {
      served.push(exchange.head.path)
      serve(exchange)
    },
    onMalformed: () => {},
    onDropped: exchange => dropped.push(exchange.head.path),
    onAccepting: () => {},
    getDelayMs: () => 0,
    offerConnection: (socket, serveHere) => {
      serverSocket = socket
      serveHere(false)
    }
  })
  client = await RawClient.open(Number(new URL(await front.listen('127.0.0.1:0')).port))
})

afterEach(async () => {
  vi.useRealTimers()
  client.socket.destroy()
  await front.close()
})

async function until (isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise(resolve => setImmediate(resolve))
}

async function waitForClose (): Promise<void> {
  if (!client.socket.closed) await new Promise(resolve => client.socket.once('close', resolve))
}

/// Resolves when the server accepts no connections any more.
async function untilClosing (): Promise<void> {
  const { remotePort } = client.socket
  for (let isOpen = true; isOpen;) {
    const other = connect(remotePort!, '127.0.0.1')
    isOpen = await new Promise(resolve => other.on('connect', () => resolve(true)).on('error', () => resolve(false)))
    other.destroy()
  }
}

/// Blocks the event loop.
function block (durationMs: number): void {
  const startedAtMs = performance.now()
  while (performance.now() - startedAtMs < durationMs);
}

// Guards against responses that are lost in the reset of a connection that is closed with unread bytes.
test.each([
  ['a response that says close, while the caller sends its body', postHead, (): void => {
    serve = exchange => exchange.respond(503, {}, Buffer.from('no'), true)
  }, '503'],
  ['a rejected head, while the caller sends its body', postHead.replace('host: h', 'host: h\r\nhost: g'), () => {}, '400'],
  ['a response of a request that asks for close', postHead.replace('host: h', 'host: h\r\nconnection: close'), () => {}, '200']
])('%s: the connection is ended, and read on until the caller ends it', async (_, head, prepare, status) => {
  prepare()
  client.socket.write(head + chunk)
  await client.waitForEnd()
  let sentChunks = 0
  const send = (): void => {
    client.socket.write(chunk.repeat(100), () => { if (++sentChunks < 10) setImmediate(send) })
  }
  send()
  await until(() => sentChunks === 10 || client.socket.destroyed)
  client.socket.end('0\r\n\r\n')
  await waitForClose()
  expect(client.errorCode).toBe(null)
  expect(client.statuses).toEqual([status])
})

test('a caller that does not end its side is disconnected after a while', async () => {
  vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval', 'performance'] })
  client.socket.write(get('/1', 'connection: close\r\n'))
  await client.waitForEnd()
  client.socket.write('x')
  await vi.advanceTimersByTimeAsync(900)
  expect(client.errorCode).toBe(null)
  await vi.advanceTimersByTimeAsync(200)
  await until(() => {
    client.socket.write('x')
    return client.socket.destroyed
  })
})

test('a caller that sends without end after the last response is disconnected', async () => {
  client.socket.write(postHead.replace('host: h', 'host: h\r\nconnection: close') + chunk)
  await client.waitForEnd()
  vi.useFakeTimers({ toFake: ['performance'] })
  const send = (): void => {
    client.socket.write(chunk.repeat(1024), error => { if (error == null) setImmediate(send) })
  }
  send()
  await until(() => client.socket.destroyed)
})

// Guards against requests that arrive while an idle connection is about to be closed by a process that was busy.
test('a request that has arrived when the idle time ends is answered', async () => {
  const idleTimeoutMs = 60
  front.setLimits({ headerTimeoutMs: 1000, idleTimeoutMs })
  client.socket.write(get('/1'))
  await client.waitFor(/ok/)
  client.socket.write(get('/2'))
  block(idleTimeoutMs + nodeToleranceMs + 100)
  await client.waitFor(/ok.*ok/s)
  expect(client.errorCode).toBe(null)
})

// Guards against requests that may not be sent again since they were read.
test.each([
  ['the idle time ends', () => front.setLimits({ headerTimeoutMs: 1000, idleTimeoutMs: 60 })],
  ['the server closes', () => { closing = front.close() }]
])('%s: an idle connection is closed, and a request that crosses this is not read', async (_, closeIdle) => {
  closeIdle()
  client.socket.write(get('/1'))
  await client.waitForEnd()
  await until(() => {
    client.socket.write(get('/2'))
    return client.socket.destroyed
  })
  expect(client.statuses).toEqual(['200'])
  expect(served).toEqual(['/1'])
  expect(dropped).toEqual([])
  await closing
})

/// What Node does each half minute with a connection that is late with a head.
async function reportLateHead (receivedBytes: number): Promise<void> {
  await until(() => serverSocket?.remotePort === client.socket.localPort && serverSocket?.bytesRead === receivedBytes)
  serverSocket!.emit('error', Object.assign(new Error('timeout'), { code: 'ERR_HTTP_REQUEST_TIMEOUT' }))
}

// Guards against a rejection that the caller takes for the response to the request that it sends next.
test('the time for a head is over and nothing has arrived: the connection ends without a response', async () => {
  await reportLateHead(0)
  await client.waitForEnd()
  expect(client.text).toBe('')
})

test.each([
  ['a part of a head has arrived', 'GET / HTTP/1.1\r\nhost: h\r\n', ['408']],
  ['a part of a head has arrived behind a request', `${get('/1')}GET`, ['200', '408']]
])('the time for a head is over and %s', async (_, bytes, statuses) => {
  client.socket.write(bytes)
  await reportLateHead(bytes.length)
  await client.waitForEnd()
  expect(client.statuses).toEqual(statuses)
  client.socket.write('x')
  client.socket.end()
  await waitForClose()
  expect(client.errorCode).toBe(null)
})

// Guards against responses that are cut by a stop since Node takes their connections for idle.
test('the server closes while a complete response waits for its caller: it is delivered whole', async () => {
  const body = Buffer.alloc(64 * 1024 * 1024, 'x')
  let exchange: Exchange | undefined
  serve = served => { (exchange = served).respond(200, {}, body, false) }
  client.socket.pause()
  client.socket.write(get('/1'))
  await until(() => exchange !== undefined)
  const closing = front.close()
  await untilClosing()
  let receivedBytes = 0
  client.socket.removeAllListeners('data')
  client.socket.on('data', data => { receivedBytes += data.length })
  client.socket.resume()
  await client.waitForEnd()
  client.socket.end()
  await closing
  expect(receivedBytes).toBeGreaterThan(body.length)
})

test('the server closes while a response that did not say close is under way: the connection ends', async () => {
  let exchange: Exchange | undefined
  serve = served => { (exchange = served).startResponse(200, {}, false) }
  client.socket.write(get('/1'))
  await client.waitFor(/200 OK/)
  const closing = front.close()
  await untilClosing()
  exchange!.write(Buffer.from('all'))
  exchange!.end()
  await client.waitForEnd()
  client.socket.end()
  await closing
  expect(client.text).toMatch(/all\r\n0\r\n\r\n$/)
})
