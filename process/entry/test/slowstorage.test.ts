import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { StandinUpstream } from '#standin/upstream'
import { EntryHarness } from './harness.js'
import { receiveRaw } from './rawcaller.js'

// Guards against turns that an instance has run and whose response is cut although their caller still waits.

const callerTimeoutMs = 4000
const lastChunk = '\r\n0\r\n\r\n'

let engine: StandinUpstream
let entry: EntryHarness

beforeEach(async () => {
  engine = new StandinUpstream({ id: 'models-0', eventCount: 2, firstByteDelayMs: 0, eventIntervalMs: 0 })
  entry = new EntryHarness([{ id: 'models-0', address: await engine.listen() }])
  await entry.listen()
})

afterEach(async () => {
  engine.close()
  await entry.close()
})

const callTurn = (): Promise<string> => receiveRaw(entry.address, '/chat/1', 'a1', callerTimeoutMs)

test.each([
  ['1600 ms', 1600, true],
  ['most of the time until the deadline', 3500, true],
  ['longer than the caller waits', callerTimeoutMs + 1, false]
])('storing a turn takes %s', async (_, neededMs, isWhole) => {
  vi.spyOn(entry.ledger, 'append').mockImplementation(async (...[, timeoutMs]: [unknown, number?]) => {
    if (timeoutMs! < neededMs) throw new Error('too few replies in time')
    return { diskIds: [], viewVersion: 1 }
  })
  const response = await callTurn()
  expect(response).toMatch(/^HTTP\/1\.1 200 [^]*id: 2\n/)
  expect(response.endsWith(lastChunk)).toBe(isWhole)
})

test('the entry stops while a turn is being stored: its response is broken off at once', async () => {
  const append = vi.spyOn(entry.ledger, 'append').mockReturnValue(new Promise(() => {}))
  const response = callTurn()
  await vi.waitFor(() => expect(append).toHaveBeenCalled())
  entry.drain.graceMs = 0
  await entry.drain.start()
  await entry.drain.waitForEnd(() => 0)
  expect((await response).endsWith(lastChunk)).toBe(false)
  await vi.waitFor(() => expect(entry.drain.count).toBe(0))
})
