import fs, { mkdtempSync, readFileSync, readdirSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { losePower, PowerLoss, PowerLostError, trackFiles } from '#standin/machine'
import type { DiskBehaviour } from '#standin/machine'

let root = ''
let folder = ''
let behaviour: DiskBehaviour
let untrack = (): void => {}

beforeEach(() => {
  root = mkdtempSync(join(tmpdir(), 'machine-'))
  folder = join(root, 'data')
  behaviour = { syncDelayMs: 0, isFull: false }
  track()
  fs.mkdirSync(folder)
})

afterEach(() => {
  untrack()
  rmSync(root, { recursive: true })
})

/// As a process does that starts.
function track (): void {
  untrack()
  untrack = trackFiles(folder, behaviour)
}

function create (name: string, text: string, isSynced: boolean): number {
  const file = fs.openSync(join(folder, name), 'wx')
  fs.writeSync(file, text)
  if (isSynced) fs.fsyncSync(file)
  return file
}

function syncFolder (): void {
  const file = fs.openSync(folder, 'r')
  fs.fsyncSync(file)
  fs.closeSync(file)
}

function lose (loss: PowerLoss, random: () => number = () => 0): Record<string, string> {
  untrack()
  losePower(folder, loss, random)
  return Object.fromEntries(readdirSync(folder).sort().map(name => [name, readFileSync(join(folder, name), 'utf8')]))
}

/// What a process does with its files, and what a loss of power leaves when nothing unsynced remains.
test.each<[string, () => void, Record<string, string>]>([
  ['a file that is synced', () => { create('a', 'one', true) }, { a: 'one' }],
  ['a file that is not synced', () => { create('a', 'one', false) }, {}],
  ['later bytes', () => { fs.writeSync(create('a', 'one', true), 'two') }, { a: 'one' }],
  ['later bytes that are synced', () => {
    const file = create('a', 'one', true)
    fs.writeSync(file, Buffer.from('-two'), 1)
    fs.fdatasyncSync(file)
  }, { a: 'onetwo' }],
  ['a new name', () => {
    create('a', 'one', true)
    fs.renameSync(join(folder, 'a'), join(folder, 'b'))
  }, { a: 'one' }],
  ['a new name that is synced with its folder', () => {
    create('a', 'one', true)
    fs.renameSync(join(folder, 'a'), join(folder, 'b'))
    syncFolder()
  }, { b: 'one' }],
  ['a removed file', () => {
    create('a', 'one', true)
    fs.unlinkSync(join(folder, 'a'))
  }, { a: 'one' }],
  ['a removed file whose folder is synced', () => {
    create('a', 'one', true)
    fs.unlinkSync(join(folder, 'a'))
    syncFolder()
  }, {}],
  ['a name that is used again', () => {
    create('a', 'one', true)
    fs.unlinkSync(join(folder, 'a'))
    create('a', 'two', true)
  }, { a: 'two' }],
  ['a file that was emptied', () => {
    create('a', 'one', true)
    fs.openSync(join(folder, 'a'), 'w')
  }, { a: 'one' }],
  ['bytes of an earlier process, synced by a later one', () => {
    create('a', 'one', false)
    track()
    fs.fdatasyncSync(fs.openSync(join(folder, 'a'), 'r+'))
  }, { a: 'one' }],
  ['a disk that was lost', () => {
    create('a', 'one', true)
    rmSync(folder, { recursive: true })
    track()
    fs.mkdirSync(folder)
    create('b', 'two', true)
  }, { b: 'two' }]
])('%s: only what was synced outlives a loss of power', (_, act, expected) => {
  act()
  expect(lose(PowerLoss.nothing)).toEqual(expected)
})

test('a sync covers what was written before it began', async () => {
  const file = create('a', 'one', true)
  fs.writeSync(file, 'two')
  const synced = new Promise(resolve => { fs.fdatasync(file, resolve) })
  fs.writeSync(file, 'three')
  expect(await synced).toBeNull()
  expect(lose(PowerLoss.nothing)).toEqual({ a: 'onetwo' })
})

test('a sync that is under way does not count', async () => {
  const file = create('a', 'one', true)
  fs.writeSync(file, 'two')
  const synced = new Promise(resolve => { fs.fdatasync(file, resolve) })
  expect(lose(PowerLoss.nothing)).toEqual({ a: 'one' })
  await synced
})

test.each<[string, number[], string]>([
  ['there', [0.1, 0.9], 'one, two'],
  ['missing', [0.9, 0.1], 'one'],
  ['torn at the end', [0.9, 0.9, 0.1, 0.6], 'one, t'],
  ['torn in the middle', [0.9, 0.9, 0.9, 0.6, 0.2], 'one,\0\0wo']
])('later bytes may be %s', (_, numbers, expected) => {
  fs.writeSync(create('a', 'one', true), ', two')
  expect(lose(PowerLoss.names, () => numbers.shift() ?? 0)).toEqual({ a: expected })
})

test('later names may be there or not', () => {
  for (const name of ['a', 'b']) {
    create(name, name, true)
    fs.unlinkSync(join(folder, name))
  }
  const numbers = [0.9, 0.1]
  expect(lose(PowerLoss.some, () => numbers.shift() ?? 0)).toEqual({ a: 'a' })
})

test('a loss of power is followed by others', () => {
  fs.writeSync(create('a', 'one', true), 'two')
  lose(PowerLoss.nothing)
  track()
  const file = fs.openSync(join(folder, 'a'), 'r+')
  fs.writeSync(file, 'ONE+')
  fs.fsyncSync(file)
  expect(lose(PowerLoss.nothing)).toEqual({ a: 'ONE+' })
})

test('from the step on at which the power is lost, nothing has an effect', () => {
  const file = create('a', 'one', true)
  behaviour.stepsToLoss = 1
  fs.writeSync(file, 'two')
  for (const act of [
    () => fs.fsyncSync(file), () => fs.writeSync(file, 'three'), () => create('b', '', false), () => fs.unlinkSync(join(folder, 'a'))
  ]) expect(act).toThrow(PowerLostError)
  expect(lose(PowerLoss.nothing)).toEqual({ a: 'one' })
})

test('a full disk takes no bytes and no files', () => {
  const file = create('a', 'one', true)
  behaviour.isFull = true
  expect(() => fs.writeSync(file, 'two')).toThrow('ENOSPC')
  expect(() => fs.openSync(join(folder, 'b'), 'wx')).toThrow('ENOSPC')
  expect(readdirSync(folder)).toEqual(['a'])
})

test('a file that is written as a whole, without a sync, is empty if only its name is synced', async () => {
  const error = await new Promise(resolve => { fs.writeFile(join(folder, 'a.new'), 'one', {}, resolve) })
  expect(error).toBeNull()
  fs.renameSync(join(folder, 'a.new'), join(folder, 'a'))
  syncFolder()
  expect(readFileSync(join(folder, 'a'), 'utf8')).toBe('one')
  expect(lose(PowerLoss.nothing)).toEqual({ a: '' })
})

test('a change that is not tracked is refused', () => {
  expect(() => fs.writeFileSync(join(folder, 'a'), 'one')).toThrow('tracked')
})
