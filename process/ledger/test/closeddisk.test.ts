import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import type { LedgerRecord } from '#connection/rpc'
import { Disk, DiskClosedError, Ledger, RecordKind } from '#process/ledger'
import { noopLog } from '#process/log'

let folder = ''

beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'ledger-')) })
afterEach(() => rmSync(folder, { recursive: true }))

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

// Guards against a storage instance that ended with a failed disk since a copy from a peer arrived during its stop.
test('an append after the close is rejected and is no failure of the disk; one before it is kept', async () => {
  const { disk, contents } = Disk.open(folder, noopLog)
  const ledger = new Ledger(disk, contents)
  const failures: Error[] = []
  ledger.onFailure = error => failures.push(error)
  const kept = ledger.persist([createRecord('before')])
  disk.close()
  await kept
  await expect(ledger.persist([createRecord('after')])).rejects.toThrow(DiskClosedError)
  await expect(ledger.persist([createRecord('later')])).rejects.toThrow(DiskClosedError)
  disk.close()
  expect(failures).toEqual([])
  const reopened = Disk.open(folder, noopLog)
  expect(reopened.contents.records.map(({ record }) => record.id)).toEqual(['before'])
  reopened.disk.close()
})
