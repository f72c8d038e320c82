import { afterEach, beforeEach, expect, test } from 'vitest'
import { StandinUpstream, UpstreamFault } from '#standin/upstream'
import { EntryHarness } from './harness.js'
import { open } from './rawcaller.js'

let entry: EntryHarness
let service: StandinUpstream
let engine: StandinUpstream

beforeEach(async () => {
  service = new StandinUpstream({ id: 'tools-0', eventCount: 0, firstByteDelayMs: 20, eventIntervalMs: 1 })
  engine = new StandinUpstream({ id: 'models-0', eventCount: 4, firstByteDelayMs: 1, eventIntervalMs: 1 })
  entry = new EntryHarness([
    { id: 'tools-0', address: await service.listen() },
    { id: 'models-0', address: await engine.listen() }
  ])
  await entry.listen()
})

afterEach(async () => {
  service.close()
  engine.close()
  await entry.close()
})

const format = (id: string, path: string): string =>
  `POST ${path} HTTP/1.1\r\nhost: demo.example\r\nattempt-id: ${id}\r\ncontent-length: 2\r\n\r\nhi`

/// Sends the bytes on a connection. Resolves to all bytes that are received until it ends.
async function exchangeAll (requests: string): Promise<string> {
  const socket = await open(entry.address)
  return new Promise(resolve => {
    let text = ''
    socket.on('data', data => { text += data.toString('latin1') })
    socket.on('close', () => resolve(text))
    socket.write(requests)
  })
}

const countResponses = (text: string): number => text.match(/HTTP\/1\.1 200/g)?.length ?? 0

// Guards against pipelined requests that an instance ran and that got no response, since the response before them had
// ended the connection.
test.each([
  ['idempotent', '/check/1'],
  ['not idempotent', '/charge/1']
])('three pipelined requests, %s, at an entry that wants new connections: each that ran is answered', async (_, path) => {
  Object.defineProperty(entry.relay, 'prefersNewConnections', { get: () => true })
  const text = await exchangeAll(['a1', 'a2', 'a3'].map(id => format(id, path)).join(''))
  expect(service.executedRequests.map(({ callId }) => callId)).toEqual(['a1', 'a2', 'a3'])
  expect(countResponses(text)).toBe(3)
  expect(text.match(/connection: close/gi)).toHaveLength(1)
})

test('a caller that leaves while its requests wait: they reach no instance, and each has a line that says why', async () => {
  service.onRun = () => socket.destroy()
  const socket = await open(entry.address)
  socket.write(['a1', 'a2', 'a3'].map(id => format(id, '/charge/1')).join(''))
  for (const id of ['a2', 'a3']) {
    const { fields } = await entry.log.waitFor(id, ['request-dropped'])
    expect(fields.disconnect).toBe('caller-ended')
  }
  await entry.log.waitFor('a1', ['call-abandoned'])
  expect(service.executedRequests.map(({ callId }) => callId)).toEqual(['a1'])
})

test('a request behind a stream that breaks off reaches no instance, and its line says why', async () => {
  engine.fault = UpstreamFault.broken
  await exchangeAll(format('a1', '/chat/1') + format('a2', '/charge/1'))
  await entry.log.waitFor('a1', ['answer-broken'])
  expect((await entry.log.waitFor('a2', ['request-dropped'])).fields.disconnect).toBe('closed-here')
  expect(service.executedRequests).toEqual([])
})
