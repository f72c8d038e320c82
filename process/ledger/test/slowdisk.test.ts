import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { LedgerRecord } from '#connection/rpc'
import { Disk, RecordKind } from '#process/ledger'
import { noopLog } from '#process/log'

type Callback = (error: Error | null) => void

/// How long the next syncs block, and those that another thread was given.
const syncs = vi.hoisted(() => ({ blockingMs: 0, blockingCount: 0, inThread: [] as Callback[] }))

vi.mock('node:fs', async importOriginal => {
  const fs = await importOriginal<typeof import('node:fs')>()
  return {
    ...fs,
    fdatasyncSync: (file: number) => {
      syncs.blockingCount++
      vi.advanceTimersByTime(syncs.blockingMs)
      fs.fdatasyncSync(file)
    },
    fsyncSync: (file: number) => {
      syncs.blockingCount++
      fs.fsyncSync(file)
    },
    fdatasync: (_: number, callback: Callback) => { syncs.inThread.push(callback) }
  }
})

const slowMs = 200

let folder = ''
let disk: Disk
let acknowledged: string[]

beforeEach(async () => {
  vi.useFakeTimers({ toFake: ['performance'] })
  folder = mkdtempSync(join(tmpdir(), 'ledger-'))
  disk = Disk.open(folder, noopLog).disk
  acknowledged = []
  syncs.inThread.length = 0
  syncs.blockingMs = slowMs
  await append('slow')
  syncs.blockingCount = 0
})

afterEach(() => {
  disk.close()
  rmSync(folder, { recursive: true })
  vi.useRealTimers()
})

function createRecord (id: string): LedgerRecord {
  return {
    kind: RecordKind.turn,
    id,
    programId: 'p',
    tokens: 5,
    previousId: '',
    input: Buffer.from('in'),
    output: Buffer.from('out'),
    recordedAtMs: 1000,
    retentionMs: 60_000,
    instanceId: ''
  }
}

async function append (id: string): Promise<void> {
  await disk.append([createRecord(id)])
  acknowledged.push(id)
}

const waitForLoop = (): Promise<void> => new Promise(resolve => { setImmediate(resolve) })

function readIds (): string[] {
  const reopened = Disk.open(folder, noopLog)
  reopened.disk.close()
  return reopened.contents.records.map(({ record }) => record.id)
}

// Guards against an instance that replies to nothing while its disk, fast until then, takes long for a view.
test.each([
  ['slow', slowMs],
  ['fast', 0]
])('after a %s sync, saving a view does not block', async (_, lastSyncMs) => {
  Object.assign(disk, { lastSyncMs })
  await disk.saveView({ version: 3, members: [], leaveVersion: 0 })
  expect(syncs.blockingCount).toBe(0)
  disk.close()
  const reopened = Disk.open(folder, noopLog)
  reopened.disk.close()
  expect(reopened.contents.view.version).toBe(3)
})

// Guards against a storage instance that replies to nothing, reads and probes included, while its disk syncs.
test('after a slow sync, the next one does not block, and a record is acknowledged only after it', async () => {
  const appended = append('a')
  await waitForLoop()
  expect([syncs.blockingCount, syncs.inThread.length, acknowledged]).toEqual([0, 1, ['slow']])
  syncs.inThread[0]!(null)
  await appended
  expect(acknowledged).toEqual(['slow', 'a'])
})

test('records that come during a sync are written after it, and share the next one', async () => {
  const appended = ['a', 'b', 'c'].map(async id => {
    if (id !== 'a') await waitForLoop()
    await append(id)
  })
  for (let i = 0; i < 3; i++) await waitForLoop()
  expect(syncs.inThread.length).toBe(1)
  vi.advanceTimersByTime(slowMs)
  syncs.inThread[0]!(null)
  await waitForLoop()
  expect([syncs.inThread.length, acknowledged]).toEqual([2, ['slow', 'a']])
  syncs.inThread[1]!(null)
  await Promise.all(appended)
  expect(readIds()).toEqual(['slow', 'a', 'b', 'c'])
})

test('once syncs are fast again, they block', async () => {
  syncs.blockingMs = 0
  const appended = append('a')
  await waitForLoop()
  syncs.inThread[0]!(null)
  await appended
  await append('b')
  expect([syncs.blockingCount, syncs.inThread.length]).toEqual([1, 1])
})

test('a sync that fails rejects its records and those that wait for the next one', async () => {
  const appended = [append('a')]
  await waitForLoop()
  appended.push(append('b'))
  const results = Promise.allSettled(appended)
  syncs.inThread[0]!(new Error('EIO'))
  expect((await results).map(({ status }) => status)).toEqual(['rejected', 'rejected'])
  await waitForLoop()
  expect([syncs.inThread.length, syncs.blockingCount]).toEqual([1, 0])
})

test('a close during a sync returns after all records are synced, and what the other thread reports is ignored', async () => {
  const appended = [append('a')]
  await waitForLoop()
  appended.push(append('b'))
  disk.close()
  expect(syncs.blockingCount).toBe(2)
  await Promise.all(appended)
  syncs.inThread[0]!(new Error('EBADF'))
  await waitForLoop()
  expect(acknowledged).toEqual(['slow', 'a', 'b'])
  expect(readIds()).toEqual(['slow', 'a', 'b'])
})
