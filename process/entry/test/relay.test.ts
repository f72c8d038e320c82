import { connect } from 'node:net'
import { beforeEach, describe, expect, test, vi } from 'vitest'
import { sleep } from '#process/clock'
import { UpstreamFault } from '#standin/upstream'
import { listObjects } from '#standin/store'
import {
  busy, busyMs, callOn, connectClient, connectServed, countExecutions, formatCall, idle, listEntry, upstreams
} from './relaypair.js'

describe('a new connection of a busy entry is relayed to another entry, which serves', () => {
  beforeEach(() => listEntry(idle.relayAddress))

  test.each(['/charge/1', '/check/1', '/query/1', '/chat/1'])('a call to %s, once, with the response unchanged', async path => {
    const { status, headers, body } = await busy.call(path, { 'attempt-id': 'a1' })
    expect([status, headers['attempt-id']]).toEqual([200, 'a1'])
    expect(headers['server-signature']).toMatch(/-1\./)
    expect(countExecutions()).toEqual([0, 1])
    expect(body).toBe((await idle.call(path, { 'attempt-id': 'a1' })).body)
  })

  test('all calls of the connection', async () => {
    const client = connectClient()
    for (let i = 0; i < 3; i++) await callOn(client)
    expect([countExecutions(), client.ended()]).toEqual([[0, 3], 'open'])
  })

  test('a call with a long body that arrives in pieces', async () => {
    const { socket, received } = connectClient()
    const body = 'x'.repeat(300_000)
    socket.write(formatCall().replace('content-length: 0', `content-length: ${body.length}`))
    for (let i = 0; i < body.length; i += 50_000) {
      await sleep(5)
      socket.write(body.slice(i, i + 50_000))
    }
    await vi.waitFor(() => expect(received()).toMatch(/HTTP\/1\.1 200/))
    expect(upstreams[3]!.executedRequests[0]!.body.length).toBe(body.length)
  })

  test('a malformed request gets status 400', async () => {
    const { socket, received } = connectClient()
    socket.write('POST /charge/1 HTTP/1.1\r\nhost : demo.example\r\nx y\r\n\r\n')
    await vi.waitFor(() => expect(received()).toMatch(/HTTP\/1\.1 400/))
  })

  test('connections that it relays are not relayed again', async () => {
    vi.spyOn(idle.serviceTime, 'expectedMs', 'get').mockReturnValue(busyMs)
    listObjects(idle.directory, { objects: [{ name: 'entry-2', revision: 1, spec: { address: busy.relayAddress, zone: 'z', processors: 1 }, status: null }], revision: 1 })
    idle.directory.recordReport({ name: 'entry-2', expectedMs: 1, configVersion: 1, isReady: true, isQuery: false, askersProcessors: 0 })
    const client = connectClient()
    for (let i = 0; i < 2; i++) await callOn(client)
    expect([countExecutions(), client.ended()]).toEqual([[0, 2], 'open'])
  })

  // Guards against an older configuration after a newer one at the same caller.
  test.each([
    ['a route that both have', '/charge/1'],
    ['a route that the other version lacks', '/none/1']
  ])('nothing under another version of the configuration: a call to %s is refused as not run, the connection closed', async (_, path) => {
    const client = await connectServed()
    idle.configVersion = 2
    client.socket.write(formatCall(path, 'a2'))
    await vi.waitFor(() => expect(client.ended()).toBe('closed'))
    expect(client.received()).toMatch(/HTTP\/1\.1 503[^]*connection: close[^]*"verdict":"not-run"/)
    expect(countExecutions()).toEqual([0, 1])
  })

  test('the caller leaves: the call is aborted at once', async () => {
    upstreams[3]!.fault = UpstreamFault.silent
    const { socket } = connectClient()
    socket.write(formatCall())
    await vi.waitFor(() => expect(countExecutions()).toEqual([0, 1]))
    socket.end()
    await vi.waitFor(() => expect(upstreams[3]!.abortedCount).toBe(1), { timeout: 500 })
  })
})

test('a connection that was opened before the entry was busy: its next response closes it, so that the caller reconnects', async () => {
  const client = await connectServed()
  listEntry(idle.relayAddress)
  client.socket.write(formatCall('/charge/1', 'a2'))
  await vi.waitFor(() => expect(client.ended()).toBe('closed'))
  expect(client.received().match(/connection: close/gi)?.length).toBe(1)
  expect(countExecutions()).toEqual([2, 0])
})

test.each([
  ['no line', 'POST /charge/1 HTTP/1.1\r\nhost: demo.example\r\n\r\n'],
  ['a line without a version', 'RELAY entry-0\n'],
  ['a line without end', 'x'.repeat(300)]
])('a relayed connection that begins with %s is closed without a response', async (_, bytes) => {
  const [host, port] = idle.relayAddress.split(':')
  const socket = connect(Number(port), host, () => socket.write(bytes))
  const onData = vi.fn()
  socket.on('data', onData)
  socket.on('error', () => {})
  await new Promise(resolve => socket.on('close', resolve))
  expect(onData).not.toHaveBeenCalled()
})

// Guards against a turn that one entry passes on and the other refuses, as each takes the other to be better.
test.each([
  ['has come over another entry is served', 200, () => busy],
  ['has not is refused', 503, () => idle]
])('both entries take another one to be better: a turn that goes on and %s', async (_, status, getEntry) => {
  const previousTurn = 'previous'
  await idle.call('/chat/1', { 'attempt-id': previousTurn })
  listEntry(idle.relayAddress)
  idle.loop.meanDelayMs = 80
  idle.betterShare = 0.02
  expect((await getEntry().call('/chat/1', { 'previous-turn': previousTurn })).status).toBe(status)
  expect(busy.relay.count).toBe(status === 200 ? 1 : 0)
})
