import fs from 'node:fs'
import { syncBuiltinESMExports } from 'node:module'
import { basename, dirname, resolve } from 'node:path'
import { SyncedState } from './syncedstate.js'
import type { NameChange } from './syncedstate.js'

/// How the disk of the machine behaves.
export interface DiskBehaviour {
  /// What each sync takes longer.
  syncDelayMs: number
  /// Whether there is no room for further bytes and files.
  isFull: boolean
  /// Whether syncs are only recorded, which is faster and makes no difference to what a loss of power leaves.
  skipsSyncs?: boolean
  /// After so many further writes, syncs and changes of names the power is lost: all later ones fail without effect.
  stepsToLoss?: number
}

/// Thrown by what is done with files after the power is lost.
export class PowerLostError extends Error {
  constructor () {
    super('the power is lost')
  }
}

interface OpenFile {
  /// Null for the folder itself.
  readonly id: string | null
  position: number
}

/// Bytes that were written and aren't synced yet.
interface LaterWrite {
  /// Null if the file was emptied.
  readonly offset: number | null
  readonly bytes: Buffer
}

type AnyFunction = (...args: never[]) => unknown
type Callback = (error: Error | null) => void

/// Functions that change files, and that aren't needed: their effects would go unnoticed.
const refusedNames = [
  'appendFile', 'appendFileSync', 'createWriteStream', 'ftruncate', 'ftruncateSync', 'open', 'rename', 'rm',
  'rmSync', 'truncate', 'truncateSync', 'unlink', 'write', 'writeFileSync', 'writev', 'writevSync'
] as const

/// Keeps the synced state of a data folder up to date, from now on and in this process: replaces the functions of
/// `node:fs` that open, write, sync, rename and remove files. Functions that it doesn't support throw. Returns a
/// function that puts the original ones back.
export function trackFiles (dataDir: string, behaviour: DiskBehaviour): () => void {
  return new TrackedFiles(resolve(dataDir), behaviour).install()
}

class TrackedFiles {
  private readonly original = { ...fs }
  private readonly state: SyncedState
  private readonly open = new Map<number, OpenFile>()
  private readonly later = new Map<string, LaterWrite[]>()
  private isOpeningItself = false

  constructor (private readonly folder: string, private readonly behaviour: DiskBehaviour) {
    this.state = SyncedState.open(folder)
    for (const [name, id] of Object.entries(this.state.currentNames)) this.compare(name, id)
  }

  install (): () => void {
    const { original } = this
    const replacements = {
      openSync: (path: fs.PathLike, flags: string | number, mode?: fs.Mode) => this.openSync(path, flags, mode),
      closeSync: (file: number) => {
        this.open.delete(file)
        original.closeSync(file)
      },
      writeSync: (file: number, data: Buffer | string, offset?: number) => this.writeSync(file, data, offset),
      fsyncSync: (file: number) => this.syncNow(file, original.fsyncSync),
      fdatasyncSync: (file: number) => this.syncNow(file, original.fdatasyncSync),
      fsync: (file: number, callback: Callback) => this.sync(file, callback),
      fdatasync: (file: number, callback: Callback) => this.sync(file, callback),
      renameSync: (from: string, to: string) => {
        if (this.has(from)) this.changeName({ kind: 'renamed', name: basename(from), to: basename(to) })
        original.renameSync(from, to)
      },
      unlinkSync: (path: string) => {
        if (this.has(path)) this.changeName({ kind: 'removed', name: basename(path) })
        original.unlinkSync(path)
      },
      writeFile: (path: string, data: string, options: fs.WriteFileOptions, callback: Callback) => {
        if (this.has(path)) this.noteOpened(path, true)
        // It opens the file with the replaced function.
        this.isOpeningItself = true
        original.writeFile(path, data, options, callback)
        this.isOpeningItself = false
      }
    }
    const refusals = Object.fromEntries(refusedNames.map(name => [name, this.refuse(name)]))
    const names = [...Object.keys(replacements), ...refusedNames] as (keyof typeof fs)[]
    const replaced = Object.fromEntries(names.map(name => [name, original[name]]))
    const assign = (...functions: object[]): void => {
      Object.assign(fs, ...functions)
      syncBuiltinESMExports()
    }
    assign(replacements, refusals)
    return () => { assign(replaced) }
  }

  /// Makes a step, unless the power is lost.
  private step (): void {
    const { behaviour } = this
    if (this.isPowerLost) throw new PowerLostError()
    if (behaviour.stepsToLoss !== undefined) behaviour.stepsToLoss--
  }

  private get isPowerLost (): boolean {
    return this.behaviour.stepsToLoss === 0
  }

  private changeName (change: NameChange): void {
    this.step()
    this.state.addChange(change)
  }

  private has (path: unknown): path is string {
    return typeof path === 'string' && dirname(resolve(path)) === this.folder
  }

  /// What an earlier process has written and not synced.
  private compare (name: string, id: string): void {
    const [synced, written] = [this.state.readBytes(id), this.original.readFileSync(`${this.folder}/${name}`)]
    if (written.equals(synced)) return
    const isAppended = written.subarray(0, synced.length).equals(synced)
    const start = isAppended ? synced.length : 0
    this.later.set(id, [
      ...isAppended ? [] : [{ offset: null, bytes: Buffer.alloc(0) }],
      { offset: start, bytes: written.subarray(start) }
    ])
  }

  private openSync (path: fs.PathLike, flags: string | number, mode?: fs.Mode): number {
    const { original, open } = this
    if (typeof path === 'string' && resolve(path) === this.folder) {
      const file = original.openSync(path, flags, mode)
      open.set(file, { id: null, position: 0 })
      return file
    }
    if (!this.has(path)) return original.openSync(path, flags, mode)
    const isCreating = typeof flags === 'string' ? /^[wa]/.test(flags) : (flags & fs.constants.O_CREAT) !== 0
    const isEmptying = typeof flags === 'string' ? flags.startsWith('w') : (flags & fs.constants.O_TRUNC) !== 0
    const isNew = isCreating && !original.existsSync(path)
    if (isNew) this.throwIfFull('open')
    if (isCreating && !isNew && typeof flags === 'string' && flags.includes('x')) return original.openSync(path, flags, mode)
    const id = isCreating ? this.noteOpened(path, isEmptying) : this.state.currentNames[basename(path)]
    const file = original.openSync(path, flags, mode)
    if (id !== undefined) open.set(file, { id, position: 0 })
    return file
  }

  /// Notes that a file is created or emptied. Returns its id.
  private noteOpened (path: string, isEmptying: boolean): string {
    this.step()
    const id = this.state.currentNames[basename(path)]
    if (id === undefined) return this.state.addFile(basename(path))
    if (isEmptying) this.addLater(id, { offset: null, bytes: Buffer.alloc(0) })
    return id
  }

  private writeSync (file: number, data: Buffer | string, offset?: number): number {
    const { original } = this
    const opened = this.open.get(file)
    if (opened === undefined || opened.id === null) return original.writeSync(file, data as Buffer, offset)
    this.step()
    this.throwIfFull('write')
    const written = original.writeSync(file, data as Buffer, offset)
    const from = typeof data === 'string' ? 0 : offset ?? 0
    const bytes = Buffer.from(Buffer.from(data).subarray(from, from + written))
    this.addLater(opened.id, { offset: opened.position, bytes })
    opened.position += written
    return written
  }

  private addLater (id: string, write: LaterWrite): void {
    this.later.set(id, [...this.later.get(id) ?? [], write])
  }

  private syncNow (file: number, sync: (file: number) => void): void {
    const finish = this.beginSync(file)
    if (this.behaviour.skipsSyncs !== true) sync(file)
    block(this.behaviour.syncDelayMs)
    finish()
  }

  private sync (file: number, callback: Callback): void {
    const { skipsSyncs = false } = this.behaviour
    const finish = this.beginSync(file)
    const onSynced: Callback = error => {
      const end = (): void => {
        if (error === null && !this.isPowerLost) finish()
        callback(this.isPowerLost ? new PowerLostError() : error)
      }
      const { syncDelayMs } = this.behaviour
      if (syncDelayMs === 0) end()
      else setTimeout(end, syncDelayMs)
    }
    if (skipsSyncs) setImmediate(onSynced, null)
    else this.original.fdatasync(file, onSynced)
  }

  /// Returns what is to be called when the sync has succeeded: it covers what was written by now.
  private beginSync (file: number): () => void {
    const { state, later } = this
    const opened = this.open.get(file)
    if (opened === undefined) return () => {}
    this.step()
    const { id } = opened
    if (id === null) {
      const count = state.changes.length
      return () => state.syncNames(count)
    }
    const writes = later.get(id) ?? []
    return () => {
      this.applyWrites(id, writes)
      later.set(id, (later.get(id) ?? []).filter(write => !writes.includes(write)))
      state.syncCreation(id)
    }
  }

  private applyWrites (id: string, writes: readonly LaterWrite[]): void {
    const { original } = this
    const { O_RDWR, O_CREAT } = fs.constants
    const copy = original.openSync(this.state.locateBytes(id), O_RDWR | O_CREAT)
    for (const { offset, bytes } of writes) {
      if (offset === null) original.ftruncateSync(copy)
      else original.writeSync(copy, bytes, 0, bytes.length, offset)
    }
    original.closeSync(copy)
  }

  private throwIfFull (operation: string): void {
    if (!this.behaviour.isFull) return
    throw Object.assign(new Error(`ENOSPC: no space left on device, ${operation}`), { code: 'ENOSPC' })
  }

  private refuse (name: typeof refusedNames[number]): AnyFunction {
    const call = this.original[name] as (...args: unknown[]) => unknown
    return (...args: unknown[]): unknown => {
      const [target] = args
      const isAllowed = this.isOpeningItself && name === 'open'
      if (!isAllowed && (this.has(target) || this.open.has(target as number))) throw new Error(`fs.${name} isn't tracked in a data folder`)
      return call(...args)
    }
  }
}

/// As a sync does.
function block (durationMs: number): void {
  if (durationMs > 0) Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs)
}
