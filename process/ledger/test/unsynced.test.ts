import { mkdtempSync, readdirSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { Disk, Ledger, RecordKind } from '#process/ledger'
import { noopLog } from '#process/log'

/// Paths by file descriptor, and the paths that were synced.
const files = vi.hoisted(() => ({ pathByDescriptor: new Map<number, string>(), synced: [] as string[] }))

vi.mock('node:fs', async importOriginal => {
  const fs = await importOriginal<typeof import('node:fs')>()
  return {
    ...fs,
    openSync: (path: string, flags: string) => {
      const descriptor = fs.openSync(path, flags)
      files.pathByDescriptor.set(descriptor, path)
      return descriptor
    },
    fdatasyncSync: (descriptor: number) => {
      files.synced.push(files.pathByDescriptor.get(descriptor)!)
      fs.fdatasyncSync(descriptor)
    }
  }
})

let folder = ''

beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'ledger-')) })
afterEach(() => rmSync(folder, { recursive: true }))

// Guards against LOST: a process that was killed between a write and its sync acknowledged the record after its start
// when it was sent again, without a sync; a loss of power then lost it.
test('what a start reads from the disk is synced before it is acknowledged again', async () => {
  const { disk, contents } = Disk.open(folder, noopLog)
  const record = {
    kind: RecordKind.turn,
    id: 't1',
    programId: 'p',
    tokens: 5,
    previousId: '',
    input: Buffer.from('in'),
    output: Buffer.from('out'),
    recordedAtMs: 1000,
    retentionMs: 60_000,
    instanceId: ''
  }
  await new Ledger(disk, contents).persist([record])
  const written = readdirSync(folder).filter(name => name.startsWith('segment-')).map(name => join(folder, name))
  disk.close()
  files.synced.length = 0
  const reopened = Disk.open(folder, noopLog)
  await new Ledger(reopened.disk, reopened.contents).persist([record])
  expect(files.synced).toEqual(written)
  reopened.disk.close()
})
