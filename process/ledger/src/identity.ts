import { randomBytes } from 'node:crypto'
import { closeSync, fsyncSync, openSync, readFileSync, renameSync, unlinkSync, writeSync } from 'node:fs'
import { join } from 'node:path'
import { syncFolder } from './syncfolder.js'

/// What a data folder says of itself.
export interface Identity {
  readonly diskId: string
  /// Whether the folder had no valid disk id before.
  readonly isNew: boolean
  /// Whether the disk was new in the first start of the system.
  readonly isFromFirstStart: boolean
}

const identityFileName = 'identity'
/// Marks a disk that was new in the first start of the system.
const firstStartFileName = 'first-start'

/// Reads the disk id of a data folder with files of these `names`, and gives it one if it has none.
export function openIdentity (folder: string, names: readonly string[], isFirstStart: boolean): Identity {
  const existingId = names.includes(identityFileName) ? readIdentity(folder) : null
  const isMarked = names.includes(firstStartFileName)
  if (existingId !== null) return { diskId: existingId, isNew: false, isFromFirstStart: isFirstStart || isMarked }
  // Before the disk has an id, so that a start that ends in between doesn't lose the mark.
  if (isFirstStart) writeFile(folder, firstStartFileName, '')
  return { diskId: writeIdentity(folder), isNew: true, isFromFirstStart: isFirstStart || isMarked }
}

/// Removes the mark of a disk that has got records, if it had one before it was opened.
export function removeFirstStartMark (folder: string, names: readonly string[]): void {
  if (names.includes(firstStartFileName)) unlinkSync(join(folder, firstStartFileName))
}

function readIdentity (folder: string): string | null {
  const text = readFileSync(join(folder, identityFileName), 'utf8')
  return /^[0-9a-f]{24}$/.test(text) ? text : null
}

function writeIdentity (folder: string): string {
  const diskId = randomBytes(12).toString('hex')
  writeFile(folder, identityFileName, diskId)
  return diskId
}

/// Writes a file that is there as a whole, and synced, or not at all.
function writeFile (folder: string, name: string, text: string): void {
  const path = join(folder, name)
  const file = openSync(`${path}.new`, 'w')
  try {
    writeSync(file, text)
    fsyncSync(file)
  } finally {
    closeSync(file)
  }
  renameSync(`${path}.new`, path)
  syncFolder(folder)
}
