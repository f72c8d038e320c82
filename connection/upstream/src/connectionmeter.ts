import type { Socket } from 'node:net'

/// A head that is larger fails its response. Two reads of a socket, since the first part of a body may come with it.
const maxHeadBytes = 128 * 1024
/// Of a body, what frames its chunks may take this many bytes, and this many for each byte of the chunks.
const maxFramingBytes = 256 * 1024
const framingPerBodyByte = 8

/// Compares what a connection reads with what the response in flight on it is made of. An HTTP parser passes over
/// status texts and chunk extensions without end, and reports nothing of them.
export class ConnectionMeter {
  /// What the connection had read when the response began.
  private startBytes = 0
  private bodyBytes = 0
  private hasHead = false

  constructor (private readonly socket: Socket) {}

  /// Whether more was read than a response may consist of.
  get isExceeded (): boolean {
    const readBytes = this.socket.bytesRead - this.startBytes
    return this.hasHead
      ? readBytes > maxFramingBytes + (1 + framingPerBodyByte) * this.bodyBytes
      : readBytes > maxHeadBytes
  }

  /// What has been written to the connection, and not been taken by the operating system.
  get unsentBytes (): number {
    return this.socket.writableLength
  }

  close (reason: string): void {
    this.socket.destroy(new Error(reason))
  }

  countHead (): void {
    this.hasHead = true
  }

  countBody (bytes: number): void {
    this.bodyBytes += bytes
  }

  /// The next response begins.
  restart (): void {
    this.startBytes = this.socket.bytesRead
    this.bodyBytes = 0
    this.hasHead = false
  }
}
