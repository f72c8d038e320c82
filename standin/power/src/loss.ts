import {
  closeSync, existsSync, openSync, readFileSync, readdirSync, renameSync, rmSync, statSync, truncateSync, writeFileSync,
  writeSync
} from 'node:fs'
import { join } from 'node:path'

/// A line of the journal that recorder.cjs writes. The file was created, emptied, synced with its size in bytes,
/// renamed or removed, or the names were synced that the first `covered` lines had changed.
type JournalEntry =
  | { readonly op: 'create' | 'truncate' | 'remove', readonly name: string }
  | { readonly op: 'sync', readonly name: string, readonly size: number }
  | { readonly op: 'rename', readonly name: string, readonly to: string }
  | { readonly op: 'syncFolder', readonly covered: number }

interface FileState {
  /// The bytes that a sync has covered.
  syncedBytes: number
  /// The lines of the journal that gave the file its name, and that removed it. -1: synced, Infinity: not removed.
  namedAt: number
  removedAt: number
  /// Its name before a rename that isn't synced.
  formerName: string | null
}

type JournalHandlers = {
  readonly [Op in JournalEntry['op']]: (entry: Extract<JournalEntry, { op: Op }>, line: number) => void
}

/// How often all that wasn't synced is lost.
const totalLossShare = 0.3

/// Takes back from a data folder what a loss of power may: bytes, new names and removals that weren't synced, each of
/// them, in part or not at all, or all. No process may use the folder. `random` returns numbers from 0 to 1.
export function losePower (folder: string, random: () => number): void {
  const journalFile = `${folder}.power`
  if (!existsSync(journalFile)) return
  const text = readFileSync(journalFile, 'utf8')
  const entries = text.split('\n').slice(0, -1).map(line => JSON.parse(line) as JournalEntry)
  const losesAll = random() < totalLossShare
  const isLost = (): boolean => losesAll || random() < 0.5
  const { files, removed } = replay(entries)
  for (const [name, state] of files) if (existsSync(join(folder, name))) disturb(folder, name, state, isLost, random)
  for (const [name, { syncedBytes }] of removed) {
    const place = join(`${folder}.removed`, name)
    if (!existsSync(place) || existsSync(join(folder, name)) || !isLost()) continue
    renameSync(place, join(folder, name))
    truncateSync(join(folder, name), Math.min(syncedBytes, statSync(join(folder, name)).size))
  }
  rmSync(`${folder}.removed`, { recursive: true, force: true })
  writeFileSync(journalFile, describeAsSynced(folder, [...files.keys(), ...removed.keys()]))
}

/// The files as the journal tells, and the removed ones whose removal isn't synced.
function replay (entries: readonly JournalEntry[]): { files: Map<string, FileState>, removed: Map<string, FileState> } {
  const files = new Map<string, FileState>()
  const removed = new Map<string, FileState>()
  const handlers: JournalHandlers = {
    create: ({ name }, namedAt) => {
      files.set(name, { syncedBytes: 0, namedAt, removedAt: Infinity, formerName: null })
    },
    truncate: ({ name }) => { Object.assign(files.get(name) ?? {}, { syncedBytes: 0 }) },
    sync: ({ name, size }) => {
      const { formerName = null, syncedBytes = 0 } = files.get(name) ?? {}
      // Of two syncs at once, the one with fewer bytes may end last.
      files.set(name, { syncedBytes: Math.max(size, syncedBytes), namedAt: -1, removedAt: Infinity, formerName })
    },
    rename: ({ name, to }, namedAt) => {
      const state = files.get(name)
      if (state === undefined) return
      files.delete(name)
      files.set(to, { ...state, namedAt, formerName: name })
    },
    remove: ({ name }, removedAt) => {
      const state = files.get(name)
      if (state === undefined) return
      files.delete(name)
      removed.set(name, { ...state, removedAt })
    },
    syncFolder: ({ covered }) => {
      for (const state of files.values()) {
        if (state.namedAt < covered) Object.assign(state, { namedAt: -1, formerName: null })
      }
      for (const [name, { removedAt }] of removed) if (removedAt < covered) removed.delete(name)
    }
  }
  for (const [line, entry] of entries.entries()) handlers[entry.op]?.(entry as never, line)
  return { files, removed }
}

function disturb (
  folder: string, name: string, state: FileState, isLost: () => boolean, random: () => number
): void {
  const { syncedBytes, namedAt, formerName } = state
  const place = join(folder, name)
  takeBackBytes(place, syncedBytes, isLost, random)
  if (namedAt < 0 || !isLost()) return
  if (formerName !== null && isLost()) renameSync(place, join(folder, formerName))
  else rmSync(place)
}

/// Cuts off what follows the synced bytes, a part of it, or replaces a part of it by zeros.
function takeBackBytes (place: string, syncedBytes: number, isLost: () => boolean, random: () => number): void {
  const { size } = statSync(place)
  if (size <= syncedBytes || !isLost()) return
  const keptBytes = syncedBytes + Math.floor(random() * (size - syncedBytes))
  if (isLost()) return truncateSync(place, isLost() ? syncedBytes : keptBytes)
  const file = openSync(place, 'r+')
  writeSync(file, Buffer.alloc(keptBytes - syncedBytes), 0, keptBytes - syncedBytes, syncedBytes)
  closeSync(file)
}

/// A journal that says that all that is left is synced.
function describeAsSynced (folder: string, names: readonly string[]): string {
  const present = existsSync(folder) ? readdirSync(folder) : []
  const recorded = present.filter(name => names.includes(name) || name.endsWith('.new'))
  return recorded.map(name => `${JSON.stringify({ op: 'sync', name, size: statSync(join(folder, name)).size })}\n`).join('')
}
