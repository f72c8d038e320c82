import { mkdirSync, mkdtempSync, readFileSync, readdirSync, rmSync, truncateSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import type { View } from '#connection/rpc'
import { Disk, DiskClosedError } from '#process/ledger'
import { noopLog } from '#process/log'
import type { EventFields, EventKind } from '#process/log'

let folder = ''

beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'view-')) })
afterEach(() => rmSync(folder, { recursive: true }))

function createView (version: number): View {
  const member = { name: 'a', diskId: 'd', address: '10.0.0.1:7000', zone: 'z', state: 'serving', replacement: false, syncedView: 3 }
  return { version, leaveVersion: 2, members: [member] }
}

/// Opens the folder, closes it again, and returns the view and the entries that were ignored.
function reopen (): { view: View, ignored: unknown[] } {
  const ignored: unknown[] = []
  const log = { event: ({ name }: EventKind, fields: EventFields) => { if (name === 'disk-entry-ignored') ignored.push(fields.name) } }
  const { disk, contents } = Disk.open(folder, log)
  disk.close()
  return { view: contents.view, ignored }
}

function viewFiles (): string[] {
  return readdirSync(folder).filter(name => name.startsWith('view-'))
}

async function save (...versions: readonly number[]): Promise<void> {
  const { disk } = Disk.open(folder, noopLog)
  for (const version of versions) await disk.saveView(createView(version))
  disk.close()
}

test('a start begins with the newest view that was saved, and only its file stays', async () => {
  await save(4, 7, 5)
  expect(reopen()).toEqual({ view: createView(7), ignored: [] })
  expect(viewFiles()).toEqual(['view-7'])
})

test('views that are saved at the same time are all saved, the newest one last', async () => {
  const { disk } = Disk.open(folder, noopLog)
  await Promise.all([4, 6, 5].map(version => disk.saveView(createView(version))))
  disk.close()
  expect(reopen().view.version).toBe(6)
})

test('a disk without a saved view, as of an earlier version, begins with the empty one', async () => {
  await save()
  expect(reopen()).toEqual({ view: { version: 0, members: [], leaveVersion: 0 }, ignored: [] })
})

test.each<[string, (path: string) => void]>([
  ['a torn view', path => truncateSync(path, 40)],
  ['an empty view', path => truncateSync(path, 0)],
  ['a view with a wrong checksum', path => writeFileSync(path, readFileSync(path, 'utf8').replace('"a"', '"b"'))],
  ['a view of another disk', () => { rmSync(join(folder, 'identity')) }]
])('%s is ignored with a line, and the next one is saved', async (_, disturb) => {
  await save(4)
  disturb(join(folder, 'view-4'))
  expect(reopen()).toEqual({ view: { version: 0, members: [], leaveVersion: 0 }, ignored: ['view-4'] })
  await save(4)
  expect(reopen().view.version).toBe(4)
})

// Guards against a view that was told and is forgotten, as a loss of power came while the next one was saved.
test('the view before is there until the next one is whole', async () => {
  await save(4)
  writeFileSync(join(folder, 'view-5'), readFileSync(join(folder, 'view-4'), 'utf8').slice(0, 60))
  expect(reopen()).toEqual({ view: createView(4), ignored: ['view-5'] })
  await save(5)
  expect(viewFiles()).toEqual(['view-5'])
})

// Guards against a process that has ended its work and overwrites what the next one saves.
test('after the close nothing is saved', async () => {
  const { disk } = Disk.open(folder, noopLog)
  const pending = disk.saveView(createView(4))
  disk.close()
  await expect(pending).rejects.toThrow(DiskClosedError)
  expect(viewFiles()).toEqual([])
})

test('a save that fails may be tried again', async () => {
  const { disk } = Disk.open(folder, noopLog)
  rmSync(folder, { recursive: true })
  await expect(disk.saveView(createView(4))).rejects.toThrow('ENOENT')
  mkdirSync(folder)
  await disk.saveView(createView(4))
  disk.close()
  expect(viewFiles()).toEqual(['view-4'])
})
