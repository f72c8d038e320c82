import { afterEach, beforeEach, expect, test } from 'vitest'
import { FrontServer } from '#connection/front'
import type { Exchange } from '#connection/front'
import { RawClient } from './rawclient.js'

const get = (path: string, fields = ''): string => `GET ${path} HTTP/1.1\r\nhost: h\r\n${fields}\r\n`

let front: FrontServer
let client: RawClient
/// Exchanges that were started, in order; the test responds to them.
let started: Exchange[]
let serve: (exchange: Exchange) => void
let dropped: string[]
let malformed: string[]

beforeEach(async () => {
  started = []
  serve = exchange => started.push(exchange)
  dropped = []
  malformed = []
  front = new FrontServer({
    serve: async exchange => serve(exchange),
    onMalformed: code => malformed.push(code),
    onDropped: exchange => dropped.push(exchange.head.path),
    onAccepting: () => {},
    getDelayMs: () => 0
  })
  client = await RawClient.open(Number(new URL(await front.listen('127.0.0.1:0')).port))
})

afterEach(async () => {
  client.socket.destroy()
  await front.close()
})

async function until (isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise(resolve => setImmediate(resolve))
}

/// Lets what has been sent arrive, and what it starts start.
async function settle (): Promise<void> {
  const other = await RawClient.open(Number(client.socket.remotePort))
  other.socket.write(get('/settle'))
  await until(() => started.some(exchange => exchange.head.path === '/settle'))
  started = started.filter(exchange => exchange.head.path !== '/settle')
  other.socket.destroy()
}

function respond (exchange: Exchange, isLast = false): void {
  exchange.respond(200, {}, Buffer.from(exchange.head.path), isLast)
}

const getPaths = (): string[] => started.map(exchange => exchange.head.path)

test('pipelined requests are served one after the other', async () => {
  client.socket.write(get('/1') + get('/2') + get('/3'))
  await settle()
  expect(getPaths()).toEqual(['/1'])
  respond(started[0]!)
  await until(() => started.length > 1)
  expect(getPaths()).toEqual(['/1', '/2'])
  respond(started[1]!)
  await until(() => started.length > 2)
  respond(started[2]!)
  await client.waitFor(/\/1.*\/2.*\/3/s)
})

// Guards against requests that were passed on and got no response, since the one before ended the connection.
test('responses that are to end the connection: each request that was read gets one, and the last says close', async () => {
  client.socket.write(get('/1') + get('/2') + get('/3'))
  for (const index of [0, 1, 2]) {
    await until(() => started.length > index)
    respond(started[index]!, true)
  }
  await client.waitForEnd()
  expect(client.text).toMatch(/\/1HTTP.*\/2HTTP.*connection: close.*\/3$/is)
  expect(client.text.match(/connection: close/gi)).toHaveLength(1)
  expect(dropped).toEqual([])
})

// Guards against an interim response between the head and the body of the response that follows it.
test('a request that expects 100 Continue behind another one gets it before its response', async () => {
  client.socket.write(get('/1') + 'POST /2 HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n')
  await settle()
  for (const exchange of started.reverse()) respond(exchange)
  await client.waitFor(/100 Continue/)
  client.socket.write('body')
  await until(() => started.length === 2)
  for (const exchange of started) respond(exchange)
  await client.waitFor(/\/2$/)
  expect(client.text).toMatch(/^HTTP\/1.1 200 .*\/1HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 .*\/2$/s)
})

test.each([
  ['without bodies', get],
  ['with bodies', (path: string) => `${get(path, 'content-length: 2\r\n')}hi`]
])('responses that are ready at once know of the requests that were read with theirs: %s', async (_, format) => {
  serve = exchange => respond(exchange, true)
  client.socket.write(format('/1') + format('/2') + format('/3'))
  await client.waitForEnd()
  expect(client.text).toMatch(/\/1HTTP.*\/2HTTP.*connection: close.*\/3$/is)
  expect(dropped).toEqual([])
})

test('what follows a response that says close is dropped and not served', async () => {
  client.socket.write(get('/1'))
  await until(() => started.length === 1)
  started[0]!.startResponse(200, {}, true)
  await client.waitFor(/connection: close/i)
  client.socket.write(get('/2') + get('/3'))
  await settle()
  started[0]!.end()
  await until(() => dropped.length === 2)
  await client.waitForEnd()
  client.socket.write(get('/4'))
  await until(() => dropped.length === 3)
  expect(getPaths()).toEqual(['/1'])
  expect(client.statuses).toEqual(['200'])
})

test('what follows a request with connection: close is no request', async () => {
  client.socket.write(get('/1', 'connection: close\r\n') + get('/2'))
  await until(() => started.length === 1)
  respond(started[0]!)
  await client.waitForEnd()
  expect(getPaths()).toEqual(['/1'])
  expect(client.statuses).toEqual(['200'])
})

test('a caller that sends more requests than may wait gets a response to each', async () => {
  const count = 5000
  client.socket.write(Array.from({ length: count }, (_, i) => get(`/${i}`)).join(''))
  for (let index = 0; index < count; index++) {
    await until(() => started.length > index)
    respond(started[index]!)
  }
  await client.waitFor(new RegExp(`/${count - 1}$`))
  expect(client.statuses).toHaveLength(count)
  expect(dropped).toEqual([])
})

test('bodies of requests that wait are read in their turn', async () => {
  const body = 'x'.repeat(300_000)
  const post = (path: string): string => `POST ${path} HTTP/1.1\r\nhost: h\r\ncontent-length: ${body.length}\r\n\r\n${body}`
  client.socket.write(post('/1') + post('/2') + get('/3'))
  for (const index of [0, 1, 2]) {
    await until(() => started.length > index)
    const exchange = started[index]!
    const received = await exchange.readBody(body.length, { assertAdd: () => {} } as never)
    exchange.respond(200, {}, Buffer.from(String(received.length)), false)
  }
  await client.waitFor(/300000HTTP.*300000HTTP.*0$/s)
})

test.each([
  ['ends its side', () => client.socket.end(), 'caller-ended'],
  ['resets the connection', () => client.socket.resetAndDestroy(), 'connection-error']
])('a caller that %s while requests wait: the one that is served is notified, the others are not served', async (_, leave, cause) => {
  client.socket.write(get('/1') + get('/2') + get('/3'))
  await settle()
  let isDisconnected = false
  started[0]!.onDisconnect(() => { isDisconnected = true })
  leave()
  await until(() => isDisconnected && dropped.length === 2)
  expect(started[0]!.disconnectCause).toBe(cause)
  respond(started[0]!)
  await settle()
  expect(getPaths()).toEqual(['/1'])
})

// Guards against bytes of a rejection within another response, and against a response that is cut by one behind it.
test.each([
  ['a head that is no HTTP', 'BAD\r\n\r\n', '400'],
  ['a head with two hosts', get('/2', 'host: g\r\n'), '400'],
  ['a head that is too large', get('/2', `x: ${'y'.repeat(20_000)}\r\n`), '431'],
  ['a CONNECT', 'CONNECT h:1 HTTP/1.1\r\nhost: h:1\r\n\r\n', '501']
])('%s behind a request that is served is rejected after its response', async (_, bytes, status) => {
  client.socket.write(get('/1'))
  await until(() => started.length === 1)
  started[0]!.startResponse(200, {}, false)
  started[0]!.write(Buffer.from('first'))
  await client.waitFor(/first/)
  client.socket.write(bytes)
  await settle()
  started[0]!.write(Buffer.from('second'))
  started[0]!.end()
  await client.waitForEnd()
  expect(client.text).toMatch(new RegExp(`first\r\n6\r\nsecond\r\n0\r\n\r\nHTTP/1.1 ${status} .*\r\n\r\n$`, 's'))
  expect(client.statuses).toEqual(['200', status])
  expect(client.errorCode).toBe(null)
})

test.each([
  ['a head that is no HTTP', 'BAD\r\n\r\n'],
  ['a head with two hosts', get('/2', 'host: g\r\n')]
])('%s behind a response that says close gets none', async (_, bytes) => {
  client.socket.write(get('/1'))
  await until(() => started.length === 1)
  started[0]!.startResponse(200, {}, true)
  await client.waitFor(/connection: close/i)
  client.socket.write(bytes)
  await until(() => malformed.length > 0)
  started[0]!.end()
  await client.waitForEnd()
  expect(client.statuses).toEqual(['200'])
})

test('a malformed body of a request that was refused already: no second response', async () => {
  client.socket.write('POST /1 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n')
  await until(() => started.length === 1)
  respond(started[0]!)
  await client.waitFor(/\/1$/)
  client.socket.write('zz\r\n')
  await client.waitForEnd()
  expect(client.statuses).toEqual(['200'])
})

test('a malformed body of a request that is served ends its reading; the response to it is the last', async () => {
  client.socket.write('POST /1 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n')
  await until(() => started.length === 1)
  const body = started[0]!.readBody(10, { assertAdd: () => {} } as never)
  client.socket.write('zz\r\n')
  await expect(body).rejects.toThrow('incomplete')
  started[0]!.respond(400, {}, Buffer.from('no'), false)
  await client.waitForEnd()
  expect(client.statuses).toEqual(['400'])
  expect(client.text).toMatch(/connection: close/i)
})
