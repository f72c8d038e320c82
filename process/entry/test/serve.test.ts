import { randomBytes } from 'node:crypto'
import { connect } from 'node:net'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { StandinUpstream, UpstreamFault } from '#standin/upstream'
import { changeObjects } from '#standin/store'
import { EntryHarness } from './harness.js'
import type { CallResult } from './harness.js'

let entry: EntryHarness
let engines: StandinUpstream[]
let tools: StandinUpstream[]

beforeEach(async () => {
  engines = [0, 1].map(i => new StandinUpstream({ id: `models-${i}`, eventCount: 4, firstByteDelayMs: 1, eventIntervalMs: 1 }))
  tools = [0, 1].map(i => new StandinUpstream({ id: `tools-${i}`, eventCount: 0, firstByteDelayMs: 1, eventIntervalMs: 0 }))
  const upstreams = [...engines, ...tools]
  const instances = upstreams.map(async upstream => ({ id: upstream.options.id, address: await upstream.listen() }))
  entry = new EntryHarness(await Promise.all(instances))
  await entry.listen()
})

afterEach(async () => {
  for (const upstream of [...engines, ...tools]) upstream.close()
  await entry.close()
})

function call (...args: Parameters<EntryHarness['call']>): Promise<CallResult> {
  return entry.call(...args)
}

function injectFault (upstreams: StandinUpstream[], fault: UpstreamFault): void {
  for (const upstream of upstreams) upstream.fault = fault
}

const countExecutions = (upstreams: StandinUpstream[]): number =>
  upstreams.reduce((sum, upstream) => sum + upstream.executedRequests.length, 0)

test('a response is forwarded with its signature and the call id', async () => {
  const response = await call('/charge/1', { 'attempt-id': 'a1' })
  expect(response).toMatchObject({ status: 200, body: 'done /charge/1 hello', headers: { 'attempt-id': 'a1' } })
  expect(response.headers['server-signature']).toMatch(/^tools-/)
})

test('reserved headers set by the caller are not sent upstream', async () => {
  await call('/charge/1', { hold: 'x', 'pin-ms': '5', 'kv-backup': '1.2.3.4:5', 'expect-instance': 'other', 'x-own': 'kept' })
  const { headers } = tools.flatMap(upstream => upstream.executedRequests)[0]!
  expect([headers.hold, headers['pin-ms'], headers['kv-backup']]).toEqual([undefined, undefined, undefined])
  expect(headers['x-own']).toBe('kept')
  expect(headers['expect-instance']).toMatch(/^tools-/)
  expect(Number(headers['deadline-ms'])).toBeLessThanOrEqual(1500)
})

test.each<[string, UpstreamFault, number]>([
  ['response lost', UpstreamFault.responseLost, 2],
  ['response with another call id', UpstreamFault.wrongCallId, 2],
  ['response broken off', UpstreamFault.broken, 2]
])('an idempotent call is retried at another instance: %s', async (_, fault, runs) => {
  injectFault(tools, fault)
  // The first instance that runs the call clears the fault of the other one, so the retry succeeds.
  tools[0]!.onRun = () => { tools[1]!.fault = UpstreamFault.none }
  tools[1]!.onRun = () => { tools[0]!.fault = UpstreamFault.none }
  expect((await call('/check/1', {}, 'GET')).status).toBe(200)
  expect(countExecutions(tools)).toBe(runs)
})

test('an idempotent call refused by one instance runs at the other', async () => {
  tools[0]!.fault = UpstreamFault.full
  for (let i = 0; i < 4; i++) expect((await call('/check/1', {}, 'GET')).status).toBe(200)
  expect([tools[0]!.executedRequests.length, tools[1]!.executedRequests.length]).toEqual([0, 4])
})

test.each<[string, UpstreamFault, number]>([
  ['response lost', UpstreamFault.responseLost, 502],
  ['response with another call id', UpstreamFault.wrongCallId, 502],
  ['response broken off', UpstreamFault.broken, 502]
])('a non-idempotent call runs once and is not reported as not run: %s', async (_, fault, status) => {
  injectFault(tools, fault)
  expect((await call('/charge/1')).status).toBe(status)
  expect(countExecutions(tools)).toBe(1)
})

test('a call refused by all instances gets 503 with retry-after', async () => {
  injectFault(tools, UpstreamFault.full)
  const response = await call('/charge/1')
  expect(response.status).toBe(503)
  expect(Number(response.headers['retry-after'])).toBeGreaterThan(0)
  expect(countExecutions(tools)).toBe(0)
})

test('a call whose deadline passes after it was sent gets 504', async () => {
  injectFault(tools, UpstreamFault.silent)
  expect((await call('/charge/1', { 'deadline-ms': '120' })).status).toBe(504)
})

test.each([
  ['no route', '/nowhere/1', {}, 404],
  ['another host', '/charge/1', { host: 'other.example' }, 404],
  ['an unknown previous turn', '/chat/1', { 'previous-turn': 'none' }, 404]
])('%s gets an error status without reaching an instance', async (_, path, headers, status) => {
  expect((await call(path, headers)).status).toBe(status)
  expect(countExecutions([...engines, ...tools])).toBe(0)
})

test('a turn is sent with its history, and is stored before its response ends', async () => {
  await call('/chat/1', { 'attempt-id': 't1' }, 'POST', 'first;')
  await call('/chat/1', { 'attempt-id': 't2', 'previous-turn': 't1' }, 'POST', 'second;')
  const prompts = engines.flatMap(engine => engine.executedRequests).map(request => request.body)
  const output = [1, 2, 3, 4].map(id => `piece ${id} after 6 bytes\n`).join('')
  expect(prompts).toEqual(['first;', `first;${output}second;`])
  expect(entry.ledger.records.has('3/t2')).toBe(true)
})

test('a turn that can\'t be stored is not completed; nothing is sent upstream while the ledger is unavailable', async () => {
  engines[0]!.onRun = engines[1]!.onRun = () => { entry.ledger.isUnavailable = true }
  await expect(call('/chat/1', {})).rejects.toThrow()
  expect((await call('/chat/1', { 'previous-turn': 't1' })).status).toBe(503)
  expect(countExecutions(engines)).toBe(1)
})

test('a program exceeds its token budget by at most one turn', async () => {
  const headers = { 'program-id': 'p', 'token-budget': '70', 'token-usage': '10,40' }
  const statuses: number[] = []
  for (let i = 0; i < 4; i++) statuses.push((await call('/query/1', headers)).status)
  expect(statuses).toEqual([200, 200, 402, 402])
  expect(countExecutions(engines)).toBe(2)
})

test('a resumable stream continues at another engine after its last event', async () => {
  engines[0]!.fault = engines[1]!.fault = UpstreamFault.broken
  let runs = 0
  engines[0]!.onRun = engines[1]!.onRun = () => { if (++runs === 2) injectFault(engines, UpstreamFault.none) }
  const response = await call('/query/1')
  expect([...response.body.matchAll(/id: (\d)/g)].map(match => match[1])).toEqual(['1', '2', '3', '4'])
  expect(runs).toBe(2)
})

test('a broken stream that is not resumable is aborted', async () => {
  injectFault(engines, UpstreamFault.broken)
  await expect(call('/chat/1')).rejects.toThrow()
  expect(countExecutions(engines)).toBe(1)
})

test.each([
  ['two content lengths', 'POST /charge/1 HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: s1\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde'],
  ['a content length and chunked encoding', 'POST /charge/1 HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: s1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'],
  ['a space before the colon', 'POST /charge/1 HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: s1\r\nContent-Length : 3\r\n\r\nabc'],
  ['an invalid chunk size', 'POST /charge/1 HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: s1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n'],
  ['no call id', 'POST /charge/1 HTTP/1.1\r\nHost: demo.example\r\nContent-Length: 0\r\n\r\n'],
  ['a header that is too large', `POST /charge/1 HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: s1\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`]
])('a malformed request is rejected without reaching an instance: %s', async (_, text) => {
  const response = await new Promise<string>(resolve => {
    const [host, port] = entry.address.split(':')
    const socket = connect(Number(port), host, () => socket.write(text))
    let received = ''
    socket.on('data', chunk => { received += chunk.toString() })
    socket.on('close', () => resolve(received))
    setTimeout(() => socket.destroy(), 400)
  })
  expect(response).toMatch(/^HTTP\/1\.1 4(00|31)/)
  expect(countExecutions(tools)).toBe(0)
})

test('engines above half of their slots accept turns of running programs, and refuse new programs with retry-after', async () => {
  const programHeaders = { 'program-id': 'p', 'session-id': 's', 'program-deadline-ms': '4000', 'token-budget': '500', 'token-usage': '40,40' }
  const firstTurnId = randomBytes(8).toString('hex')
  expect((await call('/chat/1', { ...programHeaders, 'attempt-id': firstTurnId })).status).toBe(200)
  for (const instance of entry.registry.readyInstances('models')) instance.running = 6
  expect((await call('/chat/2', { ...programHeaders, 'previous-turn': firstTurnId })).status).toBe(200)
  expect((await call('/chat/helper', { ...programHeaders, 'session-id': 'h' })).status).toBe(200)
  const refused = await call('/chat/1', { ...programHeaders, 'program-id': 'q' })
  expect(refused.status).toBe(503)
  expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0)
  expect((await call('/chat/1', { 'token-usage': '40,40' })).status).toBe(200)
})

// Guards against a truncated response that is forwarded as complete. A response without a content length ends when its
// connection closes: the HTTP client took a connection reset for that end, and the runtime reports a reset received
// together with the last bytes as an ordinary end.
describe.each([20, 0])('a response without a content length, reset %i ms after its last bytes', resetAfterMs => {
  test.each([
    ['/check/1', 'GET', () => tools],
    ['/charge/1', 'POST', () => tools],
    ['/chat/1', 'POST', () => engines]
  ] as const)('is not forwarded as complete: %s', async (path, method, upstreams) => {
    for (const upstream of upstreams()) upstream.resetAfterMs = resetAfterMs
    injectFault(upstreams(), UpstreamFault.unframedReset)
    const response = await call(path, {}, method).catch(() => null)
    expect(response?.status ?? 0).not.toBe(200)
  })
})

test('a response without a content length that ends with its connection is forwarded', async () => {
  injectFault(tools, UpstreamFault.unframed)
  const response = await call('/charge/1')
  expect([response.status, response.body]).toEqual([200, 'done /charge/1 hello'])
})

test.each([
  ['longer than its timeout', 1600, 503, 0],
  ['for part of its timeout', 1000, 200, 1]
])('a call that waited %s before it was read has that much less time', async (_, delayMs, status, runs) => {
  entry.delayMs = delayMs
  expect((await call('/charge/1')).status).toBe(status)
  expect(countExecutions(tools)).toBe(runs)
  for (const { headers } of tools.flatMap(upstream => upstream.executedRequests)) {
    expect(Number(headers['deadline-ms'])).toBeLessThanOrEqual(1500 - delayMs)
  }
})

test('an idempotent call waits for a slow instance if no other one is left', async () => {
  changeObjects(entry.registry, [{ name: 'tools-1', revision: 2, object: null }])
  injectFault(tools, UpstreamFault.silent)
  const startedAtMs = performance.now()
  expect((await call('/check/1', {}, 'GET')).status).toBe(504)
  expect(performance.now() - startedAtMs).toBeGreaterThan(1400)
})
