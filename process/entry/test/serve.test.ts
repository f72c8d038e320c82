import { randomBytes } from 'node:crypto'
import { connect } from 'node:net'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { StandinUpstream, UpstreamFault } from '#standin/upstream'
import { EntryHarness } from './harness.js'
import type { Seen } from './harness.js'

let entry: EntryHarness
let engines: StandinUpstream[]
let tools: StandinUpstream[]

beforeEach(async () => {
  engines = [0, 1].map(i => new StandinUpstream({ id: `models-${i}`, eventCount: 4, firstByteDelayMs: 1, eventIntervalMs: 1 }))
  tools = [0, 1].map(i => new StandinUpstream({ id: `tools-${i}`, eventCount: 0, firstByteDelayMs: 1, eventIntervalMs: 0 }))
  const upstreams = [...engines, ...tools]
  const listed = upstreams.map(async upstream => ({ id: upstream.options.id, address: await upstream.listen() }))
  entry = new EntryHarness(await Promise.all(listed))
  await entry.listen()
})

afterEach(async () => {
  for (const upstream of [...engines, ...tools]) upstream.close()
  await entry.close()
})

function call (...words: Parameters<EntryHarness['call']>): Promise<Seen> {
  return entry.call(...words)
}

function fault (upstreams: StandinUpstream[], kind: UpstreamFault): void {
  for (const upstream of upstreams) upstream.fault = kind
}

const ran = (upstreams: StandinUpstream[]): number =>
  upstreams.reduce((sum, upstream) => sum + upstream.executedRequests.length, 0)

test('an answer is passed on with its signature, under the id of the call', async () => {
  const seen = await call('/charge/1', { 'attempt-id': 'a1' })
  expect(seen).toMatchObject({ status: 200, body: 'done /charge/1 hello', headers: { 'attempt-id': 'a1' } })
  expect(seen.headers['server-signature']).toMatch(/^tools-/)
})

test('headers that are the system\'s to set do not go upstream', async () => {
  await call('/charge/1', { hold: 'x', 'pin-ms': '5', 'kv-backup': '1.2.3.4:5', 'expect-instance': 'other', 'x-own': 'kept' })
  const { headers } = tools.flatMap(upstream => upstream.executedRequests)[0]!
  expect([headers.hold, headers['pin-ms'], headers['kv-backup']]).toEqual([undefined, undefined, undefined])
  expect(headers['x-own']).toBe('kept')
  expect(headers['expect-instance']).toMatch(/^tools-/)
  expect(Number(headers['deadline-ms'])).toBeLessThanOrEqual(1500)
})

test.each<[string, UpstreamFault, number]>([
  ['its answer lost', UpstreamFault.answerLost, 2],
  ['answered under another id', UpstreamFault.mixedUp, 2],
  ['broken off', UpstreamFault.broken, 2]
])('an idempotent call runs at another instance: %s', async (_, kind, runs) => {
  fault(tools, kind)
  // Whichever is asked first fails, and the other one is sound by then.
  tools[0]!.onRun = () => { tools[1]!.fault = UpstreamFault.none }
  tools[1]!.onRun = () => { tools[0]!.fault = UpstreamFault.none }
  expect((await call('/check/1', {}, 'GET')).status).toBe(200)
  expect(ran(tools)).toBe(runs)
})

test('an idempotent call that one instance refuses runs at the other', async () => {
  tools[0]!.fault = UpstreamFault.full
  for (let i = 0; i < 4; i++) expect((await call('/check/1', {}, 'GET')).status).toBe(200)
  expect([tools[0]!.executedRequests.length, tools[1]!.executedRequests.length]).toEqual([0, 4])
})

test.each<[string, UpstreamFault, number]>([
  ['its answer lost', UpstreamFault.answerLost, 502],
  ['answered under another id', UpstreamFault.mixedUp, 502],
  ['broken off', UpstreamFault.broken, 502]
])('a call that may not be repeated runs once, and "not run" is not said: %s', async (_, kind, status) => {
  fault(tools, kind)
  expect((await call('/charge/1')).status).toBe(status)
  expect(ran(tools)).toBe(1)
})

test('a call that nobody ran is refused with the promise and a time to come back', async () => {
  fault(tools, UpstreamFault.full)
  const seen = await call('/charge/1')
  expect(seen.status).toBe(503)
  expect(Number(seen.headers['retry-after'])).toBeGreaterThan(0)
  expect(ran(tools)).toBe(0)
})

test('a call that runs past its time is answered 504, one that never ran 503', async () => {
  fault(tools, UpstreamFault.silent)
  expect((await call('/charge/1', { 'deadline-ms': '120' })).status).toBe(504)
})

test.each([
  ['no route', '/nowhere/1', {}, 404],
  ['another host', '/charge/1', { host: 'other.example' }, 404],
  ['a turn that never was', '/chat/1', { 'previous-turn': 'none' }, 404]
])('%s', async (_, path, headers, status) => {
  expect((await call(path, headers)).status).toBe(status)
  expect(ran([...engines, ...tools])).toBe(0)
})

test('a turn gets the inputs and outputs before it, and is kept before its answer ends', async () => {
  await call('/chat/1', { 'attempt-id': 't1' }, 'POST', 'first;')
  await call('/chat/1', { 'attempt-id': 't2', 'previous-turn': 't1' }, 'POST', 'second;')
  const prompts = engines.flatMap(engine => engine.executedRequests).map(request => request.body)
  const output = [1, 2, 3, 4].map(id => `piece ${id} after 6 bytes\n`).join('')
  expect(prompts).toEqual(['first;', `first;${output}second;`])
  expect(entry.ledger.records.has('3/t2')).toBe(true)
})

test('a turn that can\'t be kept doesn\'t look whole; nothing is sent while the ledger is away', async () => {
  engines[0]!.onRun = engines[1]!.onRun = () => { entry.ledger.isAway = true }
  await expect(call('/chat/1', {})).rejects.toThrow()
  expect((await call('/chat/1', { 'previous-turn': 't1' })).status).toBe(503)
  expect(ran(engines)).toBe(1)
})

test('a program may not go beyond its budget by more than one turn', async () => {
  const headers = { 'program-id': 'p', 'token-budget': '70', 'token-usage': '10,40' }
  const statuses: number[] = []
  for (let i = 0; i < 4; i++) statuses.push((await call('/query/1', headers)).status)
  expect(statuses).toEqual([200, 200, 402, 402])
  expect(ran(engines)).toBe(2)
})

test('a resumable stream goes on at another engine after its last event', async () => {
  engines[0]!.fault = engines[1]!.fault = UpstreamFault.broken
  let runs = 0
  engines[0]!.onRun = engines[1]!.onRun = () => { if (++runs === 2) fault(engines, UpstreamFault.none) }
  const seen = await call('/query/1')
  expect([...seen.body.matchAll(/id: (\d)/g)].map(match => match[1])).toEqual(['1', '2', '3', '4'])
  expect(runs).toBe(2)
})

test('a stream that may not be resumed breaks off visibly', async () => {
  fault(engines, UpstreamFault.broken)
  await expect(call('/chat/1')).rejects.toThrow()
  expect(ran(engines)).toBe(1)
})

test.each([
  ['two lengths', 'POST /charge/1 HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: s1\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde'],
  ['a length and chunks', 'POST /charge/1 HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: s1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'],
  ['a space before the colon', 'POST /charge/1 HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: s1\r\nContent-Length : 3\r\n\r\nabc'],
  ['chunks that are none', 'POST /charge/1 HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: s1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n'],
  ['no id', 'POST /charge/1 HTTP/1.1\r\nHost: demo.example\r\nContent-Length: 0\r\n\r\n'],
  ['a header that is too large', `POST /charge/1 HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: s1\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`]
])('a malformed request reaches nobody: %s', async (_, text) => {
  const answer = await new Promise<string>(resolve => {
    const [host, port] = entry.address.split(':')
    const socket = connect(Number(port), host, () => socket.write(text))
    let seen = ''
    socket.on('data', chunk => { seen += chunk.toString() })
    socket.on('close', () => resolve(seen))
    setTimeout(() => socket.destroy(), 400)
  })
  expect(answer).toMatch(/^HTTP\/1\.1 4(00|31)/)
  expect(ran(tools)).toBe(0)
})

test('over half full engines take turns of programs that run, and new programs come back later', async () => {
  const inProgram = { 'program-id': 'p', 'session-id': 's', 'program-deadline-ms': '4000', 'token-budget': '500', 'token-usage': '40,40' }
  const firstId = randomBytes(8).toString('hex')
  expect((await call('/chat/1', { ...inProgram, 'attempt-id': firstId })).status).toBe(200)
  for (const instance of entry.registry.readyInstances('models')) instance.running = 6
  expect((await call('/chat/2', { ...inProgram, 'previous-turn': firstId })).status).toBe(200)
  expect((await call('/chat/helper', { ...inProgram, 'session-id': 'h' })).status).toBe(200)
  const refused = await call('/chat/1', { ...inProgram, 'program-id': 'q' })
  expect(refused.status).toBe(503)
  expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0)
  expect((await call('/chat/1', { 'token-usage': '40,40' })).status).toBe(200)
})

// An answer without a length ends with its connection; the HTTP client took a reset for that
// end, and the runtime reports a reset that comes with the last bytes as an ordinary end.
describe.each([20, 0])('an answer without a length that is reset %i ms after its last bytes', resetAfterMs => {
  test.each([
    ['/check/1', 'GET', () => tools],
    ['/charge/1', 'POST', () => tools],
    ['/chat/1', 'POST', () => engines]
  ] as const)('is not passed on as whole: %s', async (path, method, upstreams) => {
    for (const upstream of upstreams()) upstream.resetAfterMs = resetAfterMs
    fault(upstreams(), UpstreamFault.unframedReset)
    const seen = await call(path, {}, method).catch(() => null)
    expect(seen?.status ?? 0).not.toBe(200)
  })
})

test('an answer without a length that ends with its connection is passed on', async () => {
  fault(tools, UpstreamFault.unframed)
  const seen = await call('/charge/1')
  expect([seen.status, seen.body]).toEqual([200, 'done /charge/1 hello'])
})
