import { closeSync, fsyncSync, openSync } from 'node:fs'

/// Syncs the names of a folder's files.
export function syncFolder (folder: string): void {
  const handle = openSync(folder, 'r')
  try {
    fsyncSync(handle)
  } finally {
    closeSync(handle)
  }
}
