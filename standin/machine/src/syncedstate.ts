import { cpSync, existsSync, mkdirSync, readFileSync, readdirSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'

/// A change of a folder's names that isn't synced yet. A file is named by an id of its own, as renames leave it the
/// same file.
export type NameChange =
  | { readonly kind: 'created', readonly name: string, readonly id: string }
  | { readonly kind: 'renamed', readonly name: string, readonly to: string }
  | { readonly kind: 'removed', readonly name: string }

/// Names of files, with the ids of the files.
export type Names = Record<string, string>

interface Contents {
  readonly synced: Names
  readonly changes: readonly NameChange[]
  readonly nextId: number
}

const namesFile = 'names.json'
const filesFolder = 'files'

/// Where the synced state of a data folder is kept.
export function locateSyncedState (dataDir: string): string {
  return `${dataDir}.synced`
}

/// What of a data folder is synced: the names of its files, and the bytes of each. It is kept beside the folder, so
/// that it outlives the process. The files in the folder itself have all that was written.
export class SyncedState {
  private constructor (
    private readonly folder: string, private names: Names, private pending: NameChange[], private nextId: number
  ) {}

  /// Opens the state of a data folder. What the folder holds without a state counts as synced.
  static open (dataDir: string): SyncedState {
    const folder = locateSyncedState(dataDir)
    if (!existsSync(dataDir)) rmSync(folder, { recursive: true, force: true })
    if (!existsSync(join(folder, namesFile))) return SyncedState.create(dataDir)
    const { synced, changes, nextId } = JSON.parse(readFileSync(join(folder, namesFile), 'utf8')) as Contents
    const state = new SyncedState(folder, synced, [...changes], nextId)
    state.correct(listNames(dataDir))
    return state
  }

  /// Creates a state in which all that a data folder holds is synced.
  static create (dataDir: string): SyncedState {
    const folder = locateSyncedState(dataDir)
    rmSync(folder, { recursive: true, force: true })
    mkdirSync(join(folder, filesFolder), { recursive: true })
    const all = listNames(dataDir)
    const names = Object.fromEntries(all.map((name, i) => [name, String(i)]))
    for (const [name, id] of Object.entries(names)) cpSync(join(dataDir, name), join(folder, filesFolder, id))
    const state = new SyncedState(folder, names, [], all.length)
    state.save()
    return state
  }

  get syncedNames (): Names {
    return { ...this.names }
  }

  get changes (): readonly NameChange[] {
    return this.pending
  }

  /// The names after all changes.
  get currentNames (): Names {
    return applyChanges(this.names, this.pending)
  }

  /// Notes a new file before it is created. Returns its id.
  addFile (name: string): string {
    const id = String(this.nextId++)
    this.addChange({ kind: 'created', name, id })
    return id
  }

  /// Notes a change before it is made.
  addChange (change: NameChange): void {
    this.pending.push(change)
    this.save()
  }

  /// Where the synced bytes of a file are. There is no such file without any.
  locateBytes (id: string): string {
    return join(this.folder, filesFolder, id)
  }

  readBytes (id: string): Buffer {
    const path = this.locateBytes(id)
    return existsSync(path) ? readFileSync(path) : Buffer.alloc(0)
  }

  /// A new file persists with its own sync, under the name that it was created with, and so do earlier changes of this
  /// name.
  syncCreation (id: string): void {
    const place = this.pending.findIndex(change => change.kind === 'created' && change.id === id)
    if (place < 0) return
    const { name } = this.pending[place]!
    const synced = this.pending.slice(0, place + 1).filter(change => isAbout(change, name))
    this.pending = this.pending.filter(change => !synced.includes(change))
    this.names = applyChanges(this.names, synced)
    this.save()
  }

  /// The names persist with the sync of their folder. `count` says how many changes had been made when it began.
  syncNames (count: number): void {
    this.names = applyChanges(this.names, this.pending.slice(0, count))
    this.pending = this.pending.slice(count)
    this.save()
  }

  /// All names there are now, and no others. They are synced.
  setNames (names: Names): void {
    const formerIds = Object.values(this.currentNames)
    this.names = names
    this.pending = []
    this.save()
    const ids = new Set(Object.values(names))
    for (const id of formerIds) if (!ids.has(id)) rmSync(this.locateBytes(id), { force: true })
  }

  /// The last process may have ended between the note of a change and the change.
  private correct (actual: readonly string[]): void {
    const current = this.currentNames
    for (const name of actual) if (!(name in current)) this.addFile(name)
    for (const name of Object.keys(current)) if (!actual.includes(name)) this.addChange({ kind: 'removed', name })
  }

  private save (): void {
    const contents: Contents = { synced: this.names, changes: this.pending, nextId: this.nextId }
    const path = join(this.folder, namesFile)
    writeFileSync(`${path}.new`, JSON.stringify(contents))
    renameSync(`${path}.new`, path)
  }
}

/// Changes of names that aren't there have no effect.
export function applyChanges (names: Names, changes: readonly NameChange[]): Names {
  const after = { ...names }
  for (const change of changes) {
    if (change.kind === 'created') after[change.name] = change.id
    else if (change.name in after) {
      if (change.kind === 'renamed') after[change.to] = after[change.name]!
      delete after[change.name]
    }
  }
  return after
}

function isAbout (change: NameChange, name: string): boolean {
  return change.name === name || (change.kind === 'renamed' && change.to === name)
}

function listNames (dataDir: string): string[] {
  return existsSync(dataDir) ? readdirSync(dataDir).sort() : []
}
