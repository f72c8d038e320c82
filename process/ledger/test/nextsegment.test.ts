import { mkdtempSync, readdirSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { LedgerRecord } from '#connection/rpc'
import { Disk, Ledger, RecordKind } from '#process/ledger'
import { noopLog } from '#process/log'

/// Which opens fail.
const faults = vi.hoisted(() => ({ failing: (_path: string): boolean => false }))

vi.mock('node:fs', async importOriginal => {
  const fs = await importOriginal<typeof import('node:fs')>()
  return {
    ...fs,
    openSync: (path: string, flags: string) => {
      if (faults.failing(path)) throw Object.assign(new Error('EMFILE: too many open files'), { code: 'EMFILE' })
      return fs.openSync(path, flags)
    }
  }
})

const largerThanSegment = 9 * 1024 * 1024

let folder = ''

beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'ledger-')) })

afterEach(() => {
  faults.failing = () => false
  rmSync(folder, { recursive: true })
})

function createRecord (id: string, bytes: number): LedgerRecord {
  return {
    kind: RecordKind.turn,
    id,
    programId: 'p',
    tokens: 5,
    previousId: '',
    input: Buffer.alloc(bytes),
    output: Buffer.from('out'),
    recordedAtMs: 1000,
    retentionMs: 60_000,
    instanceId: ''
  }
}

const countSegments = (): number => readdirSync(folder).filter(name => name.startsWith('segment-')).length

// Guards against a storage instance that ended with a failed disk, since it had no descriptor for its next segment.
test.each<[string, (path: string) => boolean]>([
  ['the next segment', path => path.includes('segment-')],
  ['the folder, to sync its new name', path => path === folder]
])('without a descriptor for %s, appends go on in the current one', async (_, isFailing) => {
  const { disk, contents } = Disk.open(folder, noopLog)
  const ledger = new Ledger(disk, contents)
  const failures: Error[] = []
  ledger.onFailure = error => failures.push(error)
  await ledger.persist([createRecord('large', largerThanSegment)])
  faults.failing = isFailing
  await ledger.persist([createRecord('meanwhile', 10)])
  expect(countSegments()).toBe(1)
  faults.failing = () => false
  await ledger.persist([createRecord('afterwards', 10)])
  expect(countSegments()).toBe(2)
  disk.close()
  expect(failures).toEqual([])
  const reopened = Disk.open(folder, noopLog)
  expect(reopened.contents.records.map(({ record }) => record.id)).toEqual(['large', 'meanwhile', 'afterwards'])
  reopened.disk.close()
})
