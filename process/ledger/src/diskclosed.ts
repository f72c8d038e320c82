/// A write came after the close of the disk.
export class DiskClosedError extends Error {
  override readonly name = 'DiskClosedError'
}
