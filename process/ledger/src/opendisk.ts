import { retry } from '#process/clock'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'
import { Disk } from './disk.js'
import type { DiskContents } from './disk.js'

export interface OpenDiskOptions {
  readonly log: EventLog
  /// Whether the system starts for the first time.
  readonly isFirstStart: boolean
  /// Ends the wait.
  readonly signal: AbortSignal
}

const retryDelayMs = 500

/// Opens a data folder at the time of the wall clock. Waits as long as it can't be read or written: a disk that can't
/// be read is not an empty one. Rejects with the signal's reason if it is aborted before.
export function openDisk (
  folder: string, { log, isFirstStart, signal }: OpenDiskOptions
): Promise<{ disk: Disk, contents: DiskContents }> {
  const onFailure = (error: unknown): void => log.event(Events.diskAwaited, { folder, error: formatError(error) })
  const open = (): ReturnType<typeof Disk.open> => Disk.open(folder, log, { nowMs: Date.now(), isFirstStart })
  return retry(open, { delayMs: retryDelayMs, signal, onFailure })
}
