import { mkdtempSync, readdirSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import type { LedgerRecord } from '#connection/rpc'
import { Disk, RecordKind } from '#process/ledger'
import { noopLog } from '#process/log'

let folder = ''

beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'ledger-')) })
afterEach(() => rmSync(folder, { recursive: true }))

const record: LedgerRecord = {
  kind: RecordKind.turn,
  id: 'kept',
  programId: 'p',
  tokens: 5,
  previousId: '',
  input: Buffer.from('in'),
  output: Buffer.from('out'),
  recordedAtMs: 1000,
  retentionMs: 60_000,
  instanceId: ''
}

const countDescriptors = (): number => readdirSync('/proc/self/fd').length

/// Each makes every attempt to open the folder fail while a file is open.
const failures: readonly (readonly [string, () => void])[] = [
  ['the identity can not be written', () => symlinkSync('/dev/full', join(folder, 'identity.new'))],
  ['the latest segment can not be synced', () => symlinkSync('/dev/null', join(folder, 'segment-00000001'))]
]

// Guards against a storage instance that runs out of descriptors while it waits for its disk.
test.skipIf(process.platform !== 'linux').each(failures)('failed attempts to open a data folder leave no file open: %s', (_, disturb) => {
  disturb()
  const before = countDescriptors()
  for (let i = 0; i < 20; i++) expect(() => Disk.open(folder, noopLog)).toThrow()
  expect(countDescriptors()).toBe(before)
})

// Guards against records that were acknowledged, but are in a segment that the next start doesn't read.
test.each(['segment-99999999', 'segment-999999999999999'])('records are kept beside a stray file %s', async name => {
  writeFileSync(join(folder, name), '')
  const { disk } = Disk.open(folder, noopLog)
  await disk.append([record])
  disk.close()
  const reopened = Disk.open(folder, noopLog)
  expect(reopened.contents.records.map(({ record: { id } }) => id)).toEqual(['kept'])
  reopened.disk.close()
})
