import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { EntryHarness } from './harness.js'
import { open } from './rawcaller.js'
import { RawUpstream } from './rawupstream.js'
import { startRelayingEntry } from './relayingentry.js'

// Guards against a call that is reported as not run although it ran (review/7): an instance runs it, fails, and answers
// with a status that promises the opposite, without the statement that it didn't run the call.

const signed = 'server-signature: s\r\n'
const notExecuted = 'not-executed: 1\r\n'
const promises = [408, 421, 429, 503]
const deadlineMs = 1500

let upstream: RawUpstream
let entry: EntryHarness
/// It relays all connections to the other one.
let relaying: EntryHarness
/// The status and further fields of the response to a request, by its number.
let respond: (requestNumber: number) => readonly [status: number, fields: string]

beforeEach(async () => {
  upstream = new RawUpstream((callId, number, socket) => {
    const [status, fields] = respond(number)
    socket.write(`HTTP/1.1 ${status} S\r\nattempt-id: ${callId}\r\n${fields}retry-after: 1\r\ncontent-length: 6\r\n\r\nbooked`)
  })
  entry = await upstream.startEntry(['tools-0', 'tools-1', 'models-0', 'models-1'])
  relaying = await startRelayingEntry(entry)
})

afterEach(async () => {
  vi.restoreAllMocks()
  await Promise.all([entry.close(), relaying.close()])
  upstream.close()
})

/// Sends a call and returns the bytes of its response.
async function call (address: string, path: string, fields = ''): Promise<string> {
  const socket = await open(address)
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    socket.on('data', chunk => chunks.push(chunk))
    socket.on('close', () => resolve(Buffer.concat(chunks).toString('latin1')))
    socket.write(`POST ${path} HTTP/1.1\r\nhost: demo.example\r\nattempt-id: a1\r\ndeadline-ms: ${deadlineMs}\r\n${fields}connection: close\r\ncontent-length: 0\r\n\r\n`)
  })
}

const paths = [
  ['a call that may not be repeated', '/charge/1', 1],
  ['a turn that can not be resumed', '/chat/1', 1],
  ['a stream that may be resumed', '/query/1', 2],
  ['an idempotent call', '/check/1', 2]
] as const
const addresses = [
  ['to the entry', () => entry.address],
  ['through another entry', () => relaying.address]
] as const

test.each(paths.flatMap(([what, path, runs]) => addresses.flatMap(([how, getAddress]) => promises.map(status => {
  return { what, how, status, path, runs, getAddress }
}))))('$what, $how: status $status of an instance that does not state it is passed on as no promise', async ({ status, path, runs, getAddress }) => {
  respond = () => [status, signed]
  const response = await call(getAddress(), path)
  expect(response).toMatch(/^HTTP\/1.1 502 /)
  expect(response).toContain('"verdict":"may-have-run"')
  // A failure with the instance's signature has the instance's status.
  expect(response).not.toContain('server-signature')
  expect(upstream.callIds.length).toBe(runs)
})

const budgetFields = 'program-id: p1\r\nsession-id: p1\r\nprogram-deadline-ms: 9000\r\ntoken-budget: 5000\r\ntoken-usage: 10,100\r\n'

test.each([
  ['that its budget is spent', 402, budgetFields],
  ['that its previous turn is not stored', 404, 'previous-turn: t0\r\n'],
  ['that its previous turn is gone', 410, 'previous-turn: t0\r\n']
])('a turn is not told on the word of an instance %s', async (_, status, fields) => {
  entry.ledger.records.set('3/t0', {
    kind: 3, id: 't0', programId: '', tokens: 1, previousId: '', input: Buffer.alloc(1), output: Buffer.alloc(1), recordedAtMs: Date.now(), retentionMs: 60_000, instanceId: ''
  })
  respond = () => [status, signed]
  expect(await call(entry.address, '/chat/1', fields)).toMatch(/^HTTP\/1.1 502 /)
  expect(upstream.callIds.length).toBe(1)
})

test.each([400, 402, 404, 409, 410, 500, 504])('status %i of a call that it promises nothing is passed on with the signature', async status => {
  respond = () => [status, signed]
  const response = await call(entry.address, '/charge/1')
  expect(response).toMatch(new RegExp(`^HTTP/1.1 ${status} `))
  expect(response).toContain('server-signature: s')
  expect(response).toMatch(/booked$/)
})

test.each(promises)('status %i with the statement that the call did not run: that is passed on', async status => {
  respond = () => [status, notExecuted]
  const response = await call(entry.address, '/charge/1')
  expect(response).toMatch(/^HTTP\/1.1 503 /)
  expect(response).toContain('"verdict":"not-run"')
})

test('an instance that is not the expected one says so by its status alone: the turn is sent to another one', async () => {
  respond = number => number === 0 ? [421, ''] : [500, signed]
  expect(await call(entry.address, '/chat/1')).toMatch(/^HTTP\/1.1 500 /)
  expect(upstream.callIds.length).toBe(2)
})

test('a call that may have run at one instance and did not run at the next one: it may have run', async () => {
  respond = number => number === 0 ? [503, signed] : [503, notExecuted]
  expect(await call(entry.address, '/check/1')).toMatch(/^HTTP\/1.1 502 /)
  expect(upstream.callIds.length).toBe(2)
})
