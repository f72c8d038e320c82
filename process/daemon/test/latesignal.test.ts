import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { afterAll, beforeAll, beforeEach, expect, test, vi } from 'vitest'
import { StandinSystem, buildDaemon } from '#standin/system'
import type { SystemNode } from '#standin/system'
import { callRaw, open } from '../../entry/test/rawcaller.js'

// Guards against LOST: a process whose event loop stood when a signal came counted its grace time from when it handled
// the signal, and was killed with requests that it had read.

const stopGraceMs = 4000
const stalledMs = 2400
const timeoutMs = 8000

let folder: string
let system: StandinSystem
let entry: SystemNode

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'chicorynotch-bundle-'))
  system = new StandinSystem({
    command: await buildDaemon(folder),
    entries: 1,
    storages: 3,
    engines: 1,
    services: 1,
    stopGraceMs,
    nodeArguments: ['--require', resolve('process/daemon/test/stall.cjs')]
  })
  await system.start()
  entry = system.entries[0]!
}, 60_000)

beforeEach(async () => {
  if (entry.process.exitCode !== null) await system.startAgain(entry, false)
  await system.waitUntilReady()
}, 30_000)

afterAll(async () => {
  await system.stop()
  await rm(folder, { recursive: true, force: true })
})

const stall = (): Promise<void> => writeFile(join(dirname(entry.dataDir), 'stall'), String(stalledMs))

async function waitUntilHeld (lines: number): Promise<void> {
  await vi.waitFor(() => expect(entry.outputLines.slice(lines)).toContain('held'), timeoutMs)
}

/// Sends SIGTERM and resolves to the time until the process has ended.
async function terminate (): Promise<number> {
  const sentAtMs = performance.now()
  entry.process.kill('SIGTERM')
  await vi.waitFor(() => expect(entry.process.exitCode).toBe(0), { timeout: timeoutMs, interval: 10 })
  return performance.now() - sentAtMs
}

test('the event loop of an entry stands when SIGTERM comes: a long call is answered, and the process ends within its grace time', async () => {
  for (const engine of system.engines) engine.getEventIntervalMs = () => timeoutMs
  const lines = entry.outputLines.length
  const response = callRaw(await open(entry.callersAddress), '/query/1', 'long', `deadline-ms: ${2 * timeoutMs}\r\n`)
  await vi.waitFor(() => expect(system.engines.some(({ executedRequests }) => executedRequests.length > 0)).toBe(true))
  await stall()
  await waitUntilHeld(lines)
  expect(await terminate()).toBeLessThan(stopGraceMs)
  expect(await response).toMatch(/^HTTP\/1\.1 /)
}, 30_000)

test('SIGTERM comes while an entry is loaded: it accepts no caller', async () => {
  const lines = entry.outputLines.length
  entry.process.kill('SIGKILL')
  await vi.waitFor(() => expect(entry.process.signalCode).not.toBeNull(), timeoutMs)
  await stall()
  await system.startAgain(entry, false)
  await waitUntilHeld(lines)
  expect(await terminate()).toBeLessThan(stopGraceMs)
  const output = entry.outputLines.slice(lines).join('\n')
  expect(output).toContain('"wasReady":false')
  expect(output).not.toContain('process-started')
}, 30_000)
