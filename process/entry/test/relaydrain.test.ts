import { Socket } from 'node:net'
import { beforeEach, describe, expect, test, vi } from 'vitest'
import { sleep } from '#process/clock'
import { UpstreamFault } from '#standin/upstream'
import {
  busy, busyMs, callOn, connectClient, connectServed, countExecutions, countResponses, eventCount, formatCall, idle,
  listEntry, listStatuses, upstreams
} from './relaypair.js'
import type { Client } from './relaypair.js'

/// Sends a second call when the idle entry closes the relayed connection. Resolves then.
function callAtClose (client: Client): Promise<void> {
  const relayPort = Number(idle.relayAddress.split(':')[1])
  const { destroy } = Socket.prototype
  return new Promise(resolve => {
    vi.spyOn(Socket.prototype, 'destroy').mockImplementation(function (this: Socket, error) {
      if (this.localPort === relayPort) resolve()
      if (this.localPort === relayPort && countResponses(client) === 1) client.socket.write(formatCall())
      return destroy.call(this, error)
    })
  })
}

describe('a connection that is relayed to another entry is', () => {
  beforeEach(() => listEntry(idle.relayAddress))

  test.each([
    ['drained', 'stays', () => busy.relay.drain(), 'open', 1],
    ['at a stop', 'closes', () => busy.relay.stop(), 'closed', 0]
  ])('%s while a stream is under way: the stream is completed, then the connection %s', async (_, __, drain, ended, count) => {
    const client = connectClient(formatCall('/query/1', 'a1'))
    await vi.waitFor(() => expect(client.received()).toMatch(/data:/))
    drain()
    await vi.waitFor(() => expect(client.received()).toMatch(/0\r\n\r\n$/))
    await vi.waitFor(() => expect(client.ended()).toBe(ended))
    expect([client.received().match(/^id: /gm)?.length, busy.relay.count]).toEqual([eventCount, count])
  })

  // Guards against answers of 400 to sound requests: a change of the configuration cut the connection within a body.
  test.each(['content-length: 11', 'transfer-encoding: chunked'])('at a stop while a body with %s pauses: the call is served', async field => {
    const client = await connectServed()
    const isChunked = field.startsWith('transfer')
    client.socket.write(formatCall('/charge/1', 'a2').replace('content-length: 0', field) + (isChunked ? '5\r\nhello\r\n' : 'hello'))
    await sleep(20)
    busy.relay.stop()
    await sleep(300)
    client.socket.write(isChunked ? '6\r\n world\r\n0\r\n\r\n' : ' world')
    await vi.waitFor(() => expect(client.ended()).toBe('closed'))
    expect(listStatuses(client)).toEqual([200, 200])
    expect(upstreams[3]!.executedRequests[1]!.body).toBe('hello world')
  })

  test('drained before the other entry is reached: the call is served here', async () => {
    const client = connectClient(formatCall())
    await vi.waitFor(() => expect(busy.relay.count).toBe(1))
    busy.relay.drain()
    await vi.waitFor(() => expect(countResponses(client)).toBe(1))
  })

  // Guards against requests without a response: a change of the configuration or a stop closed the connection unread.
  test.each([
    ['drained', () => busy.relay.drain()],
    ['at the start of a stop', () => busy.relay.startStop()],
    ['at a stop', () => busy.relay.stop()],
    ['at a stop after a drain', () => {
      busy.relay.drain()
      busy.relay.stop()
    }]
  ])('%s when the next call has arrived and is not read yet: the call is served here', async (_, drain) => {
    const client = await connectServed()
    client.socket.write(formatCall('/charge/1', 'a2'))
    drain()
    await vi.waitFor(() => expect(countResponses(client)).toBe(2))
    expect([countExecutions(), busy.relay.count]).toEqual([[1, 1], 0])
  })

  // Guards against sound requests that were refused as too old: they counted as arrived when the connection was opened.
  test('drained when the connection is older than the deadline of the next call: the call is served here', async () => {
    const client = await connectServed()
    await sleep(1600)
    client.socket.write(formatCall('/charge/1', 'a2'))
    busy.relay.drain()
    await vi.waitFor(() => expect(listStatuses(client).length).toBe(2))
    expect(countResponses(client)).toBe(2)
  })

  // Guards against LOST: calls were cut at an entry that had not got the processor for a second and went on with them.
  test('silent for a while, with a call under way: the call gets its response', async () => {
    upstreams[3]!.fault = UpstreamFault.late
    const client = connectClient(formatCall())
    await vi.waitFor(() => expect(countExecutions()).toEqual([0, 1]))
    for (let i = 0; i < 6; i++) busy.directory.tick(busyMs, 1)
    await vi.waitFor(() => expect(countResponses(client)).toBe(1), { timeout: 2000 })
  })

  // Guards against requests without a response that no entry has read.
  test('idle for the idle time of the other entry: a call that would cross its close gets its response', async () => {
    idle.setRelayedIdleTimeout(60)
    const client = await connectServed()
    const closing = callAtClose(client)
    const isClosed = await Promise.race([closing.then(() => true), sleep(1500).then(() => false)])
    if (!isClosed) client.socket.write(formatCall())
    await vi.waitFor(() => expect(countResponses(client)).toBe(2))
  })

  // Guards against requests that cross the close of an entry that stops, if no report of the stop has arrived.
  test('idle as the other entry stops: a call that would cross its close is served here', async () => {
    const client = await connectServed()
    callAtClose(client).catch(() => {})
    idle.announceStop()
    await sleep(50)
    idle.closeRelayed().catch(() => {})
    await sleep(50)
    if (countResponses(client) === 1) client.socket.write(formatCall())
    await vi.waitFor(() => expect(countResponses(client)).toBe(2))
    expect([countExecutions(), listStatuses(client)]).toEqual([[1, 1], [200, 200]])
  })

  test('at a stop: a connection that is accepted meanwhile is served here', async () => {
    busy.relay.stop()
    await callOn(connectClient())
    expect(countExecutions()).toEqual([1, 0])
  })

  // Guards against LOST: a change of the configuration closed all relayed connections, and cut requests on their way.
  test.each([
    ['drained', () => busy.relay.drain(), 1],
    ['at the start of a stop', () => busy.relay.startStop(), 1],
    ['drained as the other entry stops', () => busy.directory.recordReport({ name: 'entry-1', expectedMs: 1, configVersion: 1, isReady: false, isQuery: false, askersProcessors: 0 }), 0]
  ])('%s while no call is under way: the connection stays, and the next call is served here', async (_, drain, announcedCloses) => {
    const client = await connectServed()
    drain()
    await sleep(100)
    expect(client.ended()).toBe('open')
    await callOn(client)
    expect([countExecutions(), busy.relay.count]).toEqual([[1, 1], 0])
    expect(client.received().match(/connection: close/gi) ?? []).toHaveLength(announcedCloses)
  })

  test.each([
    ['', () => {}],
    [' after a drain', () => busy.relay.drain()]
  ])('at a stop%s while no call is under way: the connection closes soon', async (_, drain) => {
    const client = await connectServed()
    drain()
    await sleep(20)
    busy.relay.stop()
    await vi.waitFor(() => expect(client.ended()).toBe('closed'), { timeout: 300 })
    expect(busy.relay.count).toBe(0)
  })
})
