import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { Disk } from '#process/ledger'
import { noopLog } from '#process/log'

/// The paths that were synced, in order.
const synced = vi.hoisted(() => ({ paths: [] as string[] }))

vi.mock('node:fs', async importOriginal => {
  const fs = await importOriginal<typeof import('node:fs')>()
  return {
    ...fs,
    fsyncSync: (file: number) => {
      synced.paths.push(fs.readlinkSync(`/proc/self/fd/${file}`))
      fs.fsyncSync(file)
    }
  }
})

let root = ''

beforeEach(() => { root = mkdtempSync(join(tmpdir(), 'ledger-')) })
afterEach(() => rmSync(root, { recursive: true }))

// Guards against an acknowledged record that a loss of power takes along with the name of the folder.
test.each([
  ['the data folder is new', ['data'], ['']],
  ['its parents are new, too', ['a', 'b', 'data'], ['', 'a', 'a/b']],
  ['it was there', [], []]
])('%s: the folders that name a new one are synced first', (_, names, expected) => {
  const folder = join(root, ...names)
  synced.paths.length = 0
  Disk.open(folder, noopLog).disk.close()
  const first = synced.paths.findIndex(path => path === folder || dirname(path) === folder)
  expect(synced.paths.slice(0, first).sort()).toEqual(expected.map(name => join(root, name)))
})
