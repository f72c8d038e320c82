export { Disk, frame, parseFrames } from './disk.js'
export type { DiskContents } from './disk.js'
export { Ledger } from './ledger.js'
export { RecordKind, Records, keyOf, mergeEntry } from './records.js'
