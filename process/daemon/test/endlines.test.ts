import { afterAll, beforeAll, beforeEach, describe, expect, test, vi } from 'vitest'
import { StandinSystem } from '#standin/system'
import type { SystemNode } from '#standin/system'
import { UpstreamFault } from '#standin/upstream'
import { callRaw, open } from '../../entry/test/rawcaller.js'

// The last lines of real processes: why they end.

const stopGraceMs = 1000
const callsAtOnce = 3
const timeoutMs = 15_000

const system = new StandinSystem({
  command: [process.execPath, '--import', 'tsx', '--conditions=source', 'platform/src/main.ts'],
  entries: 1,
  storages: 3,
  engines: 1,
  services: 1,
  stopGraceMs
})

beforeAll(() => system.start(), 30_000)
afterAll(() => system.stop())

const waitForEnd = (node: SystemNode): Promise<void> => vi.waitFor(() => {
  expect(node.process.exitCode ?? node.process.signalCode).not.toBeNull()
}, timeoutMs)

/// The events that `act` makes the process log. Fails if a line is not JSON.
async function collectEvents (node: SystemNode, act: () => Promise<void>): Promise<{ readonly msg: string }[]> {
  const first = node.outputLines.length
  await act()
  await waitForEnd(node)
  return vi.waitFor(() => {
    const events = node.outputLines.slice(first).map(line => JSON.parse(line))
    expect(events.at(-1)).toMatchObject({ msg: 'process-stopped' })
    return events
  }, timeoutMs)
}

describe('an entry that is told to stop', () => {
  let entry: SystemNode

  beforeEach(async () => {
    entry = system.entries[0]!
    if (entry.process.exitCode !== null) system.launchAgain(entry)
    await system.waitUntilReady()
  })

  test.each([
    [UpstreamFault.none, 0, 0],
    [UpstreamFault.silent, callsAtOnce, callsAtOnce]
  ])('with instances that are %s says that %i calls are in flight, and %i were aborted', async (fault, inFlight, aborted) => {
    system.services[0]!.fault = fault
    const events = await collectEvents(entry, async () => {
      const sockets = await Promise.all(Array.from({ length: inFlight }, () => open(entry.callersAddress)))
      const executed = system.services[0]!.executedRequests.length
      sockets.forEach((socket, i) => callRaw(socket, '/charge/1', `${fault}-${i}`))
      await vi.waitFor(() => expect(system.services[0]!.executedRequests.length).toBe(executed + inFlight), timeoutMs)
      entry.process.kill('SIGTERM')
    })
    expect(events.find(({ msg }) => msg === 'process-stopping')).toMatchObject({
      signal: 'SIGTERM', wasReady: true, callsInFlight: inFlight, graceMs: stopGraceMs, uptimeMs: expect.any(Number)
    })
    expect(events.at(-1)).toMatchObject({
      reason: 'SIGTERM', exitCode: 0, callsAborted: aborted, stopMs: expect.any(Number)
    })
  }, 30_000)
})
