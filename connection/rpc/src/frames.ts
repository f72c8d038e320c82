import type { Socket } from 'node:net'

/// A frame is its length in bytes, without this number, and then the encoded message.
const lengthBytes = 4
/// Enough for the record of a turn with the longest prompt and response. Replies with several records are shorter.
const maxFrameBytes = 32 * 1024 * 1024
/// A peer that doesn't read is disconnected once so much waits to be sent to it.
const maxUnsentBytes = 64 * 1024 * 1024

/// Throws if a message of this length is too large.
export function assertMessageLength (bytes: number): void {
  if (bytes > maxFrameBytes) throw new Error(`a message of ${bytes} bytes is too large`)
}

/// Returns the message as a frame. Throws if it is too large: the other side would end the connection, and with it all
/// requests on it.
export function toFrame (message: Uint8Array): Buffer {
  assertMessageLength(message.length)
  const frame = Buffer.allocUnsafe(lengthBytes + message.length)
  frame.writeUInt32BE(message.length, 0)
  frame.set(message, lengthBytes)
  return frame
}

/// Splits the bytes of a connection into messages. Chunks are copied, so that a long message takes no more memory than
/// its length, and they may be read into the same memory.
export class FrameReader {
  private readonly head = Buffer.alloc(lengthBytes)
  private headBytes = 0
  /// The message that is being read, null before its length is known.
  private message: Buffer | null = null
  private messageBytes = 0

  /// Returns the messages that are complete with these bytes. Throws if a frame is too large.
  push (chunk: Buffer): Buffer[] {
    const messages: Buffer[] = []
    for (let start = 0; start < chunk.length;) {
      if (this.message === null) start = this.readHead(chunk, start)
      if (this.message !== null) start = this.readMessage(this.message, chunk, start, messages)
    }
    return messages
  }

  /// Returns where the message ends, or the chunk.
  private readMessage (message: Buffer, chunk: Buffer, start: number, messages: Buffer[]): number {
    const count = chunk.copy(message, this.messageBytes, start)
    this.messageBytes += count
    if (this.messageBytes === message.length) {
      messages.push(message)
      this.message = null
      this.headBytes = 0
    }
    return start + count
  }

  /// Returns where the message begins, or the chunk ends.
  private readHead (chunk: Buffer, start: number): number {
    const count = chunk.copy(this.head, this.headBytes, start)
    this.headBytes += count
    if (this.headBytes === lengthBytes) {
      const length = this.head.readUInt32BE(0)
      assertMessageLength(length)
      this.message = Buffer.allocUnsafe(length)
      this.messageBytes = 0
    }
    return start + count
  }
}

/// Sends the frames of one run of code in one write.
export class FrameWriter {
  private frames: Buffer[] = []

  /// `schedule` calls its argument at the end of the run of code.
  constructor (private readonly socket: Socket, private readonly schedule: (flush: () => void) => void) {}

  send (frame: Buffer): void {
    const { schedule } = this
    if (this.frames.length === 0) schedule(() => this.flush())
    this.frames.push(frame)
  }

  private flush (): void {
    const { socket, frames } = this
    this.frames = []
    if (socket.destroyed) return
    socket.write(frames.length === 1 ? frames[0]! : Buffer.concat(frames))
    if (socket.writableLength > maxUnsentBytes) socket.destroy(new Error('the peer does not read'))
  }
}
