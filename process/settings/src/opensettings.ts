import { readFileSync, statSync } from 'node:fs'
import { retry, sleep } from '#process/clock'
import { SettingsFile } from './settingsfile.js'

export interface OpenSettingsOptions {
  /// Ends the wait.
  readonly signal: AbortSignal
  /// Called with what is wrong with the file: at once, when that changes, and each 10 s.
  readonly onRejected: (error: unknown) => void
}

const retryDelayMs = 150
/// A file that was changed less than this ago may be being written.
const settleMs = 50

/// Opens the settings file of a process that starts. Waits as long as the file is missing or invalid, and until
/// contents that have just been written stay the same, since the first part of a file may be valid, too. Rejects with
/// the signal's reason if it is aborted before.
export function openSettings (path: string, { signal, onRejected }: OpenSettingsOptions): Promise<SettingsFile> {
  const open = async (): Promise<SettingsFile> => new SettingsFile(path, await readSettled(path))
  return retry(open, { delayMs: retryDelayMs, signal, onFailure: onRejected })
}

/// Throws if the contents change meanwhile.
async function readSettled (path: string): Promise<string> {
  const contents = readFileSync(path, 'utf8')
  if (Date.now() - statSync(path).mtimeMs >= settleMs) return contents
  await sleep(settleMs)
  if (readFileSync(path, 'utf8') !== contents) throw new Error('the file is being written')
  return contents
}
