import { vi } from 'vitest'
import { listObjects } from '#standin/store'
import { EntryHarness } from './harness.js'

/// A call takes so long at the entry that it relays all connections.
const expectedMs = 1000

/// Starts an entry that relays all its connections to another one. Its clock is a mock, which the test must restore.
export async function startRelayingEntry ({ relayAddress }: EntryHarness): Promise<EntryHarness> {
  const relaying = new EntryHarness([])
  await relaying.listen()
  vi.spyOn(relaying.serviceTime, 'expectedMs', 'get').mockReturnValue(expectedMs)
  const spec = { address: relayAddress, zone: 'z', processors: 1 }
  listObjects(relaying.directory, { objects: [{ name: 'entry-1', revision: 1, spec, status: null }], revision: 1 })
  relaying.directory.recordReport({
    name: 'entry-1', expectedMs: 1, configVersion: 1, isReady: true, isQuery: false, askersProcessors: 0
  })
  return relaying
}
