import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect, test } from 'vitest'
import { CallerConnection, Following, Leaving } from '../src/connection.js'
import { Random } from '../src/random.js'
import { parseResponse } from '../src/response.js'
import { SendingWay, writeRequest } from '../src/sending.js'

const body = 'a body of some length'
const head = 'HTTP/1.1 200 OK\r\n'

async function withServer<Result> (
  handle: (request: IncomingMessage, response: ServerResponse) => void, run: (address: string) => Promise<Result>
): Promise<Result> {
  const server = createServer(handle)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  try {
    return await run(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  } finally {
    server.closeAllConnections()
    server.close()
  }
}

function echo (request: IncomingMessage, response: ServerResponse): void {
  const chunks: Buffer[] = []
  request.on('data', chunk => chunks.push(chunk))
  request.on('end', () => response.end(`${request.url} ${Buffer.concat(chunks)}`))
}

function write (path: string, way: SendingWay): ReturnType<typeof writeRequest> {
  return writeRequest(new Random(1), { method: 'POST', path, fields: ['host: a'], body }, way)
}

const options = { timeoutMs: 5000, following: Following.pipelined, leaving: null }

test.each(Object.values(SendingWay))('a request sent as %s is sound', async way => {
  const response = await withServer(echo, async address => {
    const connection = await CallerConnection.open(address)
    const [received] = await connection!.exchange([write('/one', way)], options)
    connection!.close()
    return received!
  })
  const isLast = way === SendingWay.closing
  expect(response).toMatchObject({ status: 200, isComplete: true, body: `/one ${body}`, isLast })
})

test.each(Object.values(Following))('%s requests get their own responses', async following => {
  const paths = ['/one', '/two', '/three']
  const requests = paths.map(path => write(path, SendingWay.plain))
  const responses = await withServer(echo, async address => {
    const connection = await CallerConnection.open(address)
    const received = await connection!.exchange(requests, { ...options, following })
    connection!.close()
    return received
  })
  expect(responses.map(response => response?.body)).toEqual(paths.map(path => `${path} ${body}`))
})

test('a request behind a response that ends the connection is told from one that was cut', async () => {
  const responses = await withServer((request, response) => {
    response.setHeader('connection', 'close')
    echo(request, response)
  }, async address => {
    const connection = await CallerConnection.open(address)
    return await connection!.exchange(['/one', '/two'].map(path => write(path, SendingWay.plain)), options)
  })
  expect(responses.map(response => response?.isComplete)).toEqual([true, false])
  expect(responses.map(response => response?.isBehindLast)).toEqual([false, true])
  expect(responses.map(response => typeof response?.closeSaidAtMs)).toEqual(['number', 'number'])
  expect(responses[1]!.closeSaidAtMs).toBeGreaterThanOrEqual(responses[1]!.sentAtMs)
})

test.each(Object.values(Leaving))('a caller that leaves by %s is told from one that was cut', async way => {
  const [response] = await withServer(() => {}, async address => {
    const connection = await CallerConnection.open(address)
    return await connection!.exchange([write('/one', SendingWay.plain)], { ...options, leaving: { way, afterMs: 10 } })
  })
  expect(response).toMatchObject({ isComplete: false, isLeft: true })
})

test('a caller that ends its sending half has sent a whole request before', async () => {
  const echoed = new Promise<string>(resolve => withServer((request, response) => {
    response.end = (text: unknown) => {
      resolve(String(text))
      return response
    }
    echo(request, response)
  }, async address => {
    const connection = await CallerConnection.open(address)
    const leaving = { way: Leaving.halfEnd, afterMs: 0 }
    await connection!.exchange([write('/one', SendingWay.pieces)], { ...options, leaving })
  }))
  expect(await echoed).toBe(`/one ${body}`)
})

test.each([
  ['a length', 'content-length: 3\r\n\r\nabcHTTP', { body: 'abc', isComplete: true, isLast: false }],
  ['a length, in part', 'content-length: 3\r\n\r\nab', { body: 'ab', isComplete: false }],
  ['chunks', 'transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nHTTP', { body: 'abc', isComplete: true }],
  ['chunks without their end', 'transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n', { body: 'abc', isComplete: false }],
  ['neither', '\r\nabc', { body: 'abc', isComplete: false, isLast: true }],
  ['a time to come back', 'retry-after: 0.5\r\ncontent-length: 0\r\n\r\n', { retryAfterS: 0.5, isComplete: true }]
])('a response with %s is parsed', (_, text, expected) => {
  expect(parseResponse(`HTTP/1.1 100 Continue\r\n\r\n${head}${text}`, false)).toMatchObject(expected)
})
