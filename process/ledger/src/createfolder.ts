import { mkdirSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import { syncFolder } from './syncfolder.js'

/// Creates a folder, and those above it that don't exist, and syncs the ones that name them.
export function createFolder (folder: string): void {
  const firstCreated = mkdirSync(folder, { recursive: true })
  if (firstCreated === undefined) return
  for (let created = resolve(folder); ; created = dirname(created)) {
    syncFolder(dirname(created))
    if (created === resolve(firstCreated)) return
  }
}
