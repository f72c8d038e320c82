import { afterEach, beforeEach, expect, test } from 'vitest'
import { StandinUpstream } from '#standin/upstream'
import { EntryHarness } from './harness.js'

const deadlineMs = 3000
const delayMs = 1200
/// Together they end within the caller's time, and later than that less the delay.
const eventCount = 4
const eventIntervalMs = 550

let entry: EntryHarness
let engine: StandinUpstream

beforeEach(async () => {
  engine = new StandinUpstream({ id: 'models-0', eventCount, firstByteDelayMs: 1, eventIntervalMs })
  entry = new EntryHarness([{ id: 'models-0', address: await engine.listen() }])
  await entry.listen()
})

afterEach(async () => {
  engine.close()
  await entry.close()
})

// Guards against streams that were cut before their caller's time was over: an entry whose event loop was behind when
// it read a request took it to have waited all that time.
test.each([
  ['a turn that is stored', '/chat/1', ['3/a1']],
  ['a stream that is not', '/query/1', []]
])('a busy event loop ends no stream before its deadline: %s', async (_, path, stored) => {
  entry.delayMs = delayMs
  const response = await entry.call(path, { 'attempt-id': 'a1', 'deadline-ms': String(deadlineMs) })
  expect(response.status).toBe(200)
  expect(response.body.match(/^id: /gm)).toHaveLength(eventCount)
  expect([...entry.ledger.records.keys()].filter(key => key.startsWith('3/'))).toEqual(stored)
})

test('a request that has waited is refused at the deadline if its response has not started', async () => {
  entry.delayMs = delayMs
  engine.fault = 'silent'
  const startedAtMs = performance.now()
  expect((await entry.call('/query/1', { 'deadline-ms': String(deadlineMs) })).status).toBe(504)
  expect(performance.now() - startedAtMs).toBeLessThan(deadlineMs)
})
