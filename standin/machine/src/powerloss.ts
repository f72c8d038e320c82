import { existsSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { applyChanges, SyncedState } from './syncedstate.js'
import type { Names } from './syncedstate.js'

/// What a loss of power leaves of what wasn't synced.
export const PowerLoss = {
  /// Nothing.
  nothing: 'nothing',
  /// All names, and of each file's later bytes all, some or none.
  names: 'names',
  /// Of the later names and bytes some.
  some: 'some'
} as const

export type PowerLoss = typeof PowerLoss[keyof typeof PowerLoss]

/// Puts a data folder into the state in which a loss of power leaves it, after its process has ended. `random` returns
/// numbers in [0, 1).
export function losePower (dataDir: string, loss: PowerLoss, random: () => number): void {
  if (!existsSync(dataDir)) return
  const state = SyncedState.open(dataDir)
  const { currentNames } = state
  const written = readWritten(dataDir, currentNames)
  const names = chooseNames(state, loss, random)
  for (const [name, id] of Object.entries(currentNames)) if (names[name] !== id) rmSync(join(dataDir, name))
  for (const [name, id] of Object.entries(names)) {
    const synced = state.readBytes(id)
    const later = written.get(id) ?? synced
    const bytes = loss === PowerLoss.nothing || later.equals(synced) ? synced : mixBytes(synced, later, random)
    if (currentNames[name] !== id || !bytes.equals(later)) writeFileSync(join(dataDir, name), bytes)
    if (bytes !== synced) writeFileSync(state.locateBytes(id), bytes)
  }
  state.setNames(names)
}

/// By the id of the file.
function readWritten (dataDir: string, names: Names): Map<string, Buffer> {
  return new Map(Object.entries(names).map(([name, id]) => [id, readFileSync(join(dataDir, name))]))
}

function chooseNames ({ syncedNames, changes }: SyncedState, loss: PowerLoss, random: () => number): Names {
  const share = { [PowerLoss.nothing]: 0, [PowerLoss.names]: 1, [PowerLoss.some]: 0.5 }[loss]
  return applyChanges(syncedNames, changes.filter(() => random() < share))
}

/// Each later write is there, missing or torn. A file that was emptied and written anew is there as before or as after.
function mixBytes (synced: Buffer, written: Buffer, random: () => number): Buffer {
  const isAppended = written.subarray(0, synced.length).equals(synced)
  const [isKept, isMissing] = [random() < 1 / 3, random() < 1 / 2]
  if (!isAppended) return isKept ? written : synced
  if (isKept) return written
  return isMissing ? synced : tear(synced, written, random)
}

/// Some of the later bytes are missing at the end, or are zeros.
function tear (synced: Buffer, written: Buffer, random: () => number): Buffer {
  const pick = (): number => synced.length + Math.floor(random() * (written.length - synced.length))
  if (random() < 1 / 2) return written.subarray(0, pick())
  const [from, to] = [pick(), pick()].sort((a, b) => a - b)
  return Buffer.from(written).fill(0, from, to)
}
