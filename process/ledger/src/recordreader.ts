import { closeSync, openSync, readSync } from 'node:fs'
import { join } from 'node:path'
import { LedgerRecord } from '#connection/rpc'
import { decodeFrame, frameHeaderBytes } from './frames.js'
import { formatSegmentName } from './segmentfiles.js'

/// Where a record is on a disk.
export interface RecordPlace {
  readonly segment: number
  /// Of the record's frame.
  readonly offset: number
  /// Of the frame.
  readonly bytes: number
}

/// Reads single records of a data folder's segments, which stay open until they are dropped.
export class RecordReader {
  /// Descriptors by segment.
  private readonly files = new Map<number, number>()

  constructor (private readonly folder: string) {}

  /// Throws if the record can't be read, or isn't the one that was written.
  read ({ segment, offset, bytes }: RecordPlace): LedgerRecord {
    const frame = Buffer.allocUnsafeSlow(bytes)
    const count = readFully(this.open(segment), frame, offset)
    if (count < bytes || bytes < frameHeaderBytes) throw new Error(`segment ${segment} ends within a record`)
    return decodeFrame(frame)
  }

  /// Closes a segment's file.
  close (segment: number): void {
    const file = this.files.get(segment)
    if (file === undefined) return
    this.files.delete(segment)
    closeSync(file)
  }

  closeAll (): void {
    for (const segment of [...this.files.keys()]) this.close(segment)
  }

  private open (segment: number): number {
    let file = this.files.get(segment)
    if (file === undefined) {
      file = openSync(join(this.folder, formatSegmentName(segment)), 'r')
      this.files.set(segment, file)
    }
    return file
  }
}

/// Returns how many bytes there were, at most as many as `target` holds.
export function readFully (file: number, target: Buffer, position: number): number {
  let filled = 0
  while (filled < target.length) {
    const count = readSync(file, target, filled, target.length - filled, position + filled)
    if (count === 0) break
    filled += count
  }
  return filled
}
