import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { StandinUpstream, UpstreamFault } from '#standin/upstream'

// What a client of the stand-in sees on its connection.

let upstream: StandinUpstream
let client: Socket
let received: string

beforeEach(async () => {
  upstream = new StandinUpstream({ id: 'tools-0', eventCount: 0, firstByteDelayMs: 0, eventIntervalMs: 0 })
  const [host, port] = (await upstream.listen()).split(':')
  client = connect({ host, port: Number(port) })
  received = ''
  client.on('data', chunk => { received += chunk.toString('latin1') })
  client.on('error', () => {})
  await once(client, 'connect')
})

afterEach(() => {
  client.destroy()
  upstream.close()
})

const formatHead = (callId: string, bodyBytes: number): string =>
  `POST /charge HTTP/1.1\r\nhost: h\r\nattempt-id: ${callId}\r\ncontent-length: ${bodyBytes}\r\n\r\n`

const waitFor = (pattern: RegExp): Promise<void> => vi.waitFor(() => expect(received).toMatch(pattern))

test('early-kept: the response comes before the body, which is read later, and the connection serves the next request', async () => {
  upstream.fault = UpstreamFault.earlyKept
  client.write(`${formatHead('a1', 10)}first`)
  await waitFor(/^HTTP\/1\.1 500 [^]*attempt-id: a1\r\n[^]*failed early$/)
  upstream.fault = UpstreamFault.none
  client.write(`after${formatHead('b2', 2)}ok`)
  await waitFor(/HTTP\/1\.1 200 [^]*attempt-id: b2\r\n[^]*done \/charge ok$/)
  expect(upstream.executedRequests.map(({ callId, body }) => [callId, body])).toEqual([['a1', 'firstafter'], ['b2', 'ok']])
})

test.each([['a resumption', 'last-event-id: 3\r\n', 1], ['another request', '', 0]])('early-kept: %s that fails early counts as broken off by the instance, as far as its stream had begun', async (_, field, count) => {
  let brokenOff = 0
  upstream.onBreakOff = () => brokenOff++
  upstream.fault = UpstreamFault.earlyKept
  client.write(formatHead('a1', 2).replace('host: h\r\n', `host: h\r\n${field}`))
  await waitFor(/failed early$/)
  expect(brokenOff).toBe(count)
})

test('early-closed: the response comes before the body, and the connection ends', async () => {
  upstream.fault = UpstreamFault.earlyClosed
  client.write(`${formatHead('a1', 10)}first`)
  await once(client, 'close')
  expect(received).toMatch(/^HTTP\/1\.1 500 [^]*connection: close\r\n[^]*failed early$/i)
})

test('trailing: bytes that are no response follow the whole one', async () => {
  upstream.fault = UpstreamFault.trailing
  client.write(`${formatHead('a1', 2)}ok`)
  await waitFor(/done \/charge okbytes that belong to no request\r\n\r\n$/)
})

test('extra: another response with the same id follows the whole one', async () => {
  upstream.fault = UpstreamFault.extra
  client.write(`${formatHead('a1', 2)}ok`)
  await waitFor(/done \/charge okHTTP\/1\.1 200 OK\r\nattempt-id: a1\r\n[^]*extra$/)
})

test('idle-closed: a connection is closed after its response, which announces neither that nor a time', async () => {
  upstream.fault = UpstreamFault.idleClosed
  client.write(`${formatHead('a1', 2)}ok`)
  await once(client, 'end')
  expect(received).toMatch(/done \/charge ok$/)
  expect(received).not.toMatch(/^keep-alive:/im)
  expect(received).not.toMatch(/^connection: close/im)
})
