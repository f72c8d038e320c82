import { existsSync } from 'node:fs'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, afterEach, beforeAll, beforeEach, expect, test, vi } from 'vitest'
import { StoreFault } from '#standin/store'
import { StandinSystem, buildDaemon } from '#standin/system'

let folder: string
let command: readonly string[]
let system: StandinSystem

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'chicorynotch-bundle-'))
  command = await buildDaemon(folder)
}, 30_000)

beforeEach(() => { system = new StandinSystem({ command, entries: 0, storages: 3, engines: 0, services: 0 }) })
afterEach(() => system.stop())

afterAll(async () => {
  await rm(folder, { recursive: true, force: true })
})

// Guards against a system that never starts since its storage instances ended before they had formed the first view.
test.each(['SIGKILL', 'SIGTERM'] as const)('storage instances that %s ends in the first start of the system form a view when they are started again', async signal => {
  system.store.fault = StoreFault.busy
  const started = system.start()
  started.catch(() => {})
  await vi.waitFor(() => {
    expect(system.storages.length).toBe(3)
    for (const { dataDir } of system.storages) expect(existsSync(join(dataDir, 'identity'))).toBe(true)
  }, { timeout: 10_000, interval: 2 })
  await Promise.all(system.storages.map(storage => system.restart(storage, signal, false)))
  system.store.fault = StoreFault.none
  await vi.waitFor(() => expect(system.countServingMembers()).toBe(3), { timeout: 12_000, interval: 100 })
}, 40_000)
