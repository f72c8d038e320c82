const firstBlockBytes = 4096
const maxBlockBytes = 256 * 1024

/// Collects chunks in few blocks of memory. A chunk may be a single byte, and keeping it would keep what it was read
/// with.
export class ByteCollector {
  /// A single chunk is not copied.
  private single: Buffer | null = null
  private readonly blocks: Buffer[] = []
  private length = 0
  /// Of the last block.
  private freeBytes = 0

  add (chunk: Buffer): void {
    if (this.length === 0 && this.single === null) {
      this.single = chunk
      return
    }
    if (this.single !== null) {
      const { single } = this
      this.single = null
      this.copy(single)
    }
    this.copy(chunk)
  }

  toBuffer (): Buffer {
    if (this.single !== null) return this.single
    const [block] = this.blocks
    if (this.blocks.length === 1) return block!.subarray(0, this.length)
    return Buffer.concat(this.blocks, this.length)
  }

  private copy (chunk: Buffer): void {
    let copiedBytes = 0
    while (copiedBytes < chunk.length) {
      if (this.freeBytes === 0) this.addBlock(chunk.length - copiedBytes)
      const block = this.blocks[this.blocks.length - 1]!
      const count = chunk.copy(block, block.length - this.freeBytes, copiedBytes)
      copiedBytes += count
      this.freeBytes -= count
      this.length += count
    }
  }

  private addBlock (minBytes: number): void {
    const size = Math.min(maxBlockBytes, Math.max(firstBlockBytes, minBytes, this.length))
    this.blocks.push(Buffer.allocUnsafeSlow(size))
    this.freeBytes = size
  }
}
