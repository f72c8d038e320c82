import { write, writeSync } from 'node:fs'
import { Socket } from 'node:net'

type WriteCallback = (error?: Error | null) => void

/// Takes the lines of a `LineOutput`.
export interface LineTarget {
  /// Calls back once all bytes are written, or with the error after which the rest can't be.
  write (bytes: Buffer, done: WriteCallback): void
  /// Writes as much as can be written now, without waiting for a reader. Throws if that fails.
  writeNow (bytes: Buffer): void
}

const standardOutputFd = 1
const maxHeldBytes = 256 * 1024
/// Lines are held until they reach this size or the flush interval has passed.
const minWriteBytes = 8 * 1024
const flushIntervalMs = 250

/// Writes lines to standard output without ever waiting for whoever reads it: neither while the process runs nor when
/// it ends. Lines beyond a bounded buffer, and lines that can't be written, are dropped and counted.
export class LineOutput {
  private lines: string[] = []
  /// Of `lines`, and of what is being written.
  private heldBytes = 0
  private writingBytes = 0
  private dropped = 0

  constructor (private readonly target: LineTarget = openStandardOutput()) {
    setInterval(() => this.writeHeld(), flushIntervalMs).unref()
  }

  /// Lines that were dropped since the start.
  get droppedLines (): number {
    return this.dropped
  }

  write (line: string): void {
    const bytes = Buffer.byteLength(line)
    if (this.heldBytes + bytes > maxHeldBytes) {
      this.dropped++
      return
    }
    this.lines.push(line)
    this.heldBytes += bytes
    if (this.heldBytes >= minWriteBytes) this.writeHeld()
  }

  /// Writes what can be written now, before the process ends.
  flush (): void {
    const { lines } = this
    if (lines.length === 0) return
    try {
      this.target.writeNow(this.takeLines())
    } catch {
      this.dropped += lines.length
    }
    this.heldBytes = this.writingBytes
  }

  private writeHeld (): void {
    const { lines } = this
    if (this.writingBytes > 0 || lines.length === 0) return
    const bytes = this.takeLines()
    this.writingBytes = bytes.length
    this.target.write(bytes, error => {
      if (error != null) this.dropped += lines.length
      this.heldBytes -= this.writingBytes
      this.writingBytes = 0
      if (this.heldBytes >= minWriteBytes) this.writeHeld()
    })
  }

  private takeLines (): Buffer {
    const bytes = Buffer.from(this.lines.join(''))
    this.lines = []
    return bytes
  }
}

/// A thread that writes to a full pipe would block, and the exit of the process would wait for it. So pipes and sockets
/// are written to as streams, for which Node.js makes them non-blocking.
function openStandardOutput (): LineTarget {
  const { stdout } = process
  return stdout instanceof Socket ? openStream(stdout) : standardOutputFile
}

function openStream (stream: Socket): LineTarget {
  // Each write that fails is reported to its callback too.
  stream.on('error', () => {})
  return {
    write: (bytes, done) => { stream.write(bytes, done) },
    writeNow: bytes => { stream.write(bytes) }
  }
}

const standardOutputFile: LineTarget = { write: writeAll, writeNow: bytes => { writeSync(standardOutputFd, bytes) } }

function writeAll (bytes: Buffer, done: WriteCallback): void {
  write(standardOutputFd, bytes, (error, count) => {
    if (error !== null || count === bytes.length) done(error)
    else writeAll(bytes.subarray(count), done)
  })
}
