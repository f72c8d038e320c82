import { afterEach, expect, test, vi } from 'vitest'
import type { MemoryShare } from '#process/memory'
import type { EntryHarness } from './harness.js'
import { callRaw, open, receiveRaw } from './rawcaller.js'
import { RawUpstream, formatResponse } from './rawupstream.js'
import type { WriteResponse } from './rawupstream.js'

// Guards against callers whose connection ends without a whole response, and without a line that says which call it was
// and why.

let upstream: RawUpstream
let entry: EntryHarness

afterEach(async () => {
  upstream.close()
  await entry.close()
})

const streamHead = (id: string): string =>
  `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nserver-signature: s\r\ncontent-type: text/event-stream\r\n\r\n`
const event = 'id: 1\ndata: first\n\n'
/// More than the buffers of the caller's connection take.
const largeBody = 'x'.repeat(8_000_000)
const endNames = new Set(['call-finished', 'call-refused', 'call-abandoned', 'answer-broken'])

async function startEntry (respond: WriteResponse): Promise<void> {
  upstream = new RawUpstream(respond)
  entry = await upstream.startEntry(['tools-0', 'models-0'])
}

/// The lines about the ends of calls, once there is one.
async function waitForEnds (): Promise<Record<string, unknown>[]> {
  const getEnds = (): Record<string, unknown>[] => entry.log.events
    .filter(({ name }) => endNames.has(name))
    .map(({ name, fields }) => ({ name, ...fields }))
  await vi.waitFor(() => expect(getEnds().length).toBeGreaterThan(0))
  await vi.waitFor(() => expect(entry.drain.count).toBe(0))
  return getEnds()
}

test.each<[string, (id: string) => string, string]>([
  ['ends within an event', id => streamHead(id) + event + event.slice(0, 5), 'stream ended within an event'],
  ['skips an event', id => `${streamHead(id)}${event}id: 3\ndata: third\n\n`, 'event 3 does not follow event 1']
])('a stream that has begun %s: one line has the id and the reason', async (_, format, reason) => {
  await startEntry((id, _, socket) => { socket.end(format(id)) })
  await receiveRaw(entry.address, '/chat/1', 'a1')
  expect(await waitForEnds()).toEqual([expect.objectContaining({
    name: 'answer-broken', callId: 'a1', refusal: 'upstream-failed', reason: expect.stringContaining(reason)
  })])
})

test('a turn is not stored in time: one line has the id and the reason', async () => {
  await startEntry((id, _, socket) => { socket.end(streamHead(id) + event) })
  entry.ledger.isUnavailable = true
  await receiveRaw(entry.address, '/chat/1', 'a1')
  expect(await waitForEnds()).toEqual([expect.objectContaining({ name: 'answer-broken', callId: 'a1', refusal: 'not-kept' })])
})

test('a caller reads too slowly for the memory that is left: one line has the id and the reason', async () => {
  await startEntry((id, _, socket) => { socket.write(formatResponse(id, largeBody)) })
  const share = { add: () => true, set: () => false, close: () => {} } as unknown as MemoryShare
  vi.spyOn(entry.responseMemory, 'open').mockReturnValue(share)
  const caller = await open(entry.address)
  const response = callRaw(caller, '/charge/1', 'a1')
  const ends = await waitForEnds()
  await response
  expect(ends).toEqual([expect.objectContaining({ name: 'answer-broken', callId: 'a1', reason: expect.stringContaining('reads too slowly') })])
})
