import { afterEach, expect, test, vi } from 'vitest'
import type { Socket } from 'node:net'
import type { EntryHarness } from './harness.js'
import { callRaw, open } from './rawcaller.js'
import { RawUpstream, formatResponse } from './rawupstream.js'

/// More than the buffers of the caller's connection take.
const largeBody = 'x'.repeat(8_000_000)

let upstream: RawUpstream
let entry: EntryHarness
let caller: Socket

afterEach(async () => {
  caller.destroy()
  upstream.close()
  await entry.close()
})

// Guards against entries that exceed their memory while they ask callers to leave.
test.each([
  ['stays open', false],
  ['ends', true]
])('a caller that does not read a large response whose connection %s: the response is counted as memory', async (_, isLast) => {
  upstream = new RawUpstream((id, _, socket) => { socket.write(formatResponse(id, largeBody)) })
  entry = await upstream.startEntry(['tools-0'])
  vi.spyOn(entry.relay, 'prefersNewConnections', 'get').mockReturnValue(isLast)
  caller = await open(entry.address)
  const response = callRaw(caller, '/charge/1', 'a1')
  caller.pause()
  await entry.log.waitFor('a1', ['call-dispatched'])
  await vi.waitFor(() => expect(entry.drain.count).toBe(0))
  const { usedBytes } = entry.responseMemory
  caller.resume()
  caller.destroy()
  await response
  expect(usedBytes).toBeGreaterThan(1_000_000)
})
