import { readFileSync } from 'node:fs'

const limitPattern = /^Max open files\s+(\d+)/m

/// Returns how many descriptors this process may have open, null if that is unlimited or unknown.
export function readMaxDescriptors (file = '/proc/self/limits'): number | null {
  try {
    const limit = limitPattern.exec(readFileSync(file, 'latin1'))?.[1]
    return limit === undefined ? null : Number(limit)
  } catch {
    return null
  }
}
