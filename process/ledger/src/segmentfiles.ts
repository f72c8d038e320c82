import { closeSync, fdatasyncSync, fsyncSync, openSync, unlinkSync } from 'node:fs'
import { join } from 'node:path'
import { syncFolder } from './syncfolder.js'

const segmentPattern = /^segment-(\d{8,16})$/

/// Creates an empty segment file that outlives a loss of power, and returns its descriptor. Leaves no file behind if it
/// throws.
export function createSegment (folder: string, number: number): number {
  const path = join(folder, formatSegmentName(number))
  const file = openSync(path, 'wx')
  try {
    fsyncSync(file)
    syncFolder(folder)
    return file
  } catch (error) {
    closeSync(file)
    unlinkSync(path)
    throw error
  }
}

/// The name of a segment's file.
export function formatSegmentName (number: number): string {
  return `segment-${String(number).padStart(8, '0')}`
}

/// Returns null for another name than one that `formatSegmentName` returns.
export function parseSegmentName (name: string): number | null {
  const number = Number(segmentPattern.exec(name)?.[1])
  return Number.isSafeInteger(number) && formatSegmentName(number) === name ? number : null
}

/// Syncs what a segment file holds.
export function syncSegment (folder: string, number: number): void {
  const file = openSync(join(folder, formatSegmentName(number)), 'r+')
  try {
    fdatasyncSync(file)
  } finally {
    closeSync(file)
  }
}
