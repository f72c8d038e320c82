import { once } from 'node:events'
import { readFileSync } from 'node:fs'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, beforeAll, expect, test, vi } from 'vitest'
import { Disk, RecordKind } from '#process/ledger'
import { noopLog } from '#process/log'
import { StandinSystem, buildDaemon } from '#standin/system'

// Guards against a storage instance that ran out of memory at each start, since it read all that was on its disk.

const megabyte = 1024 * 1024
/// Of the smallest machines for storage instances.
const memoryMb = 230
const storedMb = 160
const inputBytes = 13_000
const recordsPerAppend = 50
const ageMs = 600_000

let folder: string
let system: StandinSystem

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'chicorynotch-restart-'))
  const command = await buildDaemon(folder)
  system = new StandinSystem({ command, entries: 1, storages: 3, engines: 1, services: 1, memoryMb })
  await system.start()
}, 60_000)

afterAll(async () => {
  await system.stop()
  await rm(folder, { recursive: true })
})

async function fillDisk (dataDir: string): Promise<void> {
  const { disk } = Disk.open(dataDir, noopLog)
  const count = storedMb * megabyte / inputBytes
  for (let i = 0; i < count; i += recordsPerAppend) {
    await disk.append(Array.from({ length: recordsPerAppend }, (_, j) => ({
      kind: RecordKind.turn,
      id: `old${i + j}`,
      programId: `p${i}`,
      tokens: 5,
      previousId: '',
      input: Buffer.alloc(inputBytes),
      output: Buffer.from('out'),
      recordedAtMs: Date.now() - ageMs,
      retentionMs: 60_000,
      instanceId: ''
    })))
  }
  disk.close()
}

test('a storage instance that starts with a large disk stays within its memory', async () => {
  const [storage] = system.storages
  const ended = once(storage!.process, 'exit')
  storage!.process.kill('SIGKILL')
  await ended
  await fillDisk(storage!.dataDir)
  const earlierLines = storage!.outputLines.length
  await system.restart(storage!, 'SIGKILL', false)
  const hasStarted = (): boolean => storage!.outputLines.slice(earlierLines).some(line => line.includes('"msg":"process-started"'))
  await vi.waitFor(() => expect(hasStarted()).toBe(true), 10_000)
  const status = readFileSync(`/proc/${storage!.process.pid}/status`, 'utf8')
  const peakKb = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)![1])
  expect(peakKb / 1024).toBeLessThan(memoryMb)
}, 60_000)
