import { closeSync, fsync, fsyncSync, openSync, readFileSync, unlinkSync, writeSync } from 'node:fs'
import { join } from 'node:path'
import { crc32 } from 'node:zlib'
import type { View } from '#connection/rpc'
import { Events, errorMessage } from '#process/log'
import type { EventLog } from '#process/log'
import { emptyView, parseView } from '#process/membership'
import { DiskClosedError } from './diskclosed.js'

/// Named after the version of the view.
const namePattern = /^view-\d+$/
/// The CRC-32 of the contents in hexadecimal digits, a space, and the contents as JSON.
const textPattern = /^([0-9a-f]{8}) (.+)\n$/

/// The newest view that an instance has adopted, on its disk. Others rely on its having told them of a view, also after
/// a restart or a loss of power. Each view gets a file of its own, and the one before is removed once that is synced: a
/// loss of power may take back a rename by halves.
export class ViewFile {
  private saved = emptyView
  private names: readonly string[]
  private lastSave = Promise.resolve()
  private isClosed = false

  /// Reads the newest view of `names`, the files of the folder, and syncs it: the process that wrote it may have been
  /// killed before its sync. One that is damaged or of another disk is ignored. Throws if one can't be read or synced.
  constructor (
    private readonly folder: string,
    private readonly diskId: string,
    names: Iterable<string>,
    log: EventLog
  ) {
    this.names = [...names].filter(name => namePattern.test(name))
    for (const name of this.names) {
      const text = readFileSync(join(folder, name), 'utf8')
      try {
        const view = decode(text, diskId)
        if (view.version > this.saved.version) this.saved = view
      } catch (error) {
        log.event(Events.diskEntryIgnored, { name, reason: errorMessage(error) })
      }
    }
    if (this.saved.version > 0) this.syncSaved()
  }

  /// The newest view that is synced.
  get view (): View {
    return this.saved
  }

  /// Resolves once this view or a newer one is synced; another thread waits for the disk. Saves are made one after the
  /// other. One that is rejected may be tried again.
  save (view: View): Promise<void> {
    const save = this.lastSave.then(() => this.saveIfNewer(view))
    this.lastSave = save.catch(() => {})
    return save
  }

  /// Nothing is written afterwards. A save that is under way is rejected with `DiskClosedError`.
  close (): void {
    this.isClosed = true
  }

  private async saveIfNewer (view: View): Promise<void> {
    if (view.version <= this.saved.version) return
    const name = formatName(view)
    this.assertOpen()
    const file = openSync(join(this.folder, name), 'w')
    try {
      const bytes = Buffer.from(encode(view, this.diskId))
      for (let offset = 0; offset < bytes.length;) offset += writeSync(file, bytes, offset)
      await syncInThread(file)
    } finally {
      closeSync(file)
    }
    this.assertOpen()
    const folder = openSync(this.folder, 'r')
    try {
      await syncInThread(folder)
    } finally {
      closeSync(folder)
    }
    this.assertOpen()
    this.saved = view
    this.removeOthers(name)
  }

  private syncSaved (): void {
    for (const path of [join(this.folder, formatName(this.saved)), this.folder]) {
      const file = openSync(path, 'r')
      try {
        fsyncSync(file)
      } finally {
        closeSync(file)
      }
    }
  }

  private removeOthers (name: string): void {
    const others = this.names.filter(other => other !== name)
    this.names = [name]
    for (const other of others) {
      try {
        unlinkSync(join(this.folder, other))
      } catch {
        // An older view that stays does no harm.
      }
    }
  }

  private assertOpen (): void {
    if (this.isClosed) throw new DiskClosedError('the disk is closed')
  }
}

function syncInThread (file: number): Promise<void> {
  return new Promise((resolve, reject) => fsync(file, error => error === null ? resolve() : reject(error)))
}

function formatName ({ version }: View): string {
  return `view-${version}`
}

function encode (view: View, diskId: string): string {
  const json = JSON.stringify({ diskId, view })
  return `${formatChecksum(json)} ${json}\n`
}

/// Throws if the text is no view of this disk.
function decode (text: string, diskId: string): View {
  const [, checksum, json] = textPattern.exec(text) ?? []
  if (json === undefined || formatChecksum(json) !== checksum) throw new Error('a damaged view')
  const contents = JSON.parse(json) as { diskId: unknown, view: unknown }
  if (contents.diskId !== diskId) throw new Error('a view of another disk')
  return parseView(contents.view)
}

function formatChecksum (text: string): string {
  return crc32(text).toString(16).padStart(8, '0')
}
