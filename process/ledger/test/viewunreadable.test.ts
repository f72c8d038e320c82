import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, test, vi } from 'vitest'
import { Disk, openDisk } from '#process/ledger'
import { noopLog } from '#process/log'

vi.mock('node:fs', async importOriginal => {
  const fs = await importOriginal<typeof import('node:fs')>()
  return { ...fs, readFileSync: vi.fn(fs.readFileSync) }
})

// Guards against a start without the view that was told, since its file couldn't be read for a moment.
test('a view that cannot be read is not taken for none: the start waits until it can be', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'view-'))
  const { disk } = Disk.open(folder, noopLog)
  await disk.saveView({ version: 4, members: [], leaveVersion: 0 })
  disk.close()
  const read = vi.mocked(readFileSync)
  const original = read.getMockImplementation()!
  let failures = 0
  read.mockImplementation(((path: string, ...rest: never[]) => {
    if (!path.endsWith('view-4') || failures++ > 0) return original(path, ...rest)
    throw Object.assign(new Error('EMFILE: too many open files'), { code: 'EMFILE' })
  }) as typeof readFileSync)
  const options = { log: noopLog, isFirstStart: false, signal: AbortSignal.timeout(5000) }
  const { disk: reopened, contents } = await openDisk(folder, options)
  expect(contents.view.version).toBe(4)
  reopened.close()
  rmSync(folder, { recursive: true })
})
