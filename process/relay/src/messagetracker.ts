const lineFeed = 0x0a
const carriageReturn = 0x0d
const headEnd = '\r\n\r\n'
/// A head or line that is longer is no request that the other entry accepts.
const maxTextBytes = 64 * 1024

/// What the next bytes of a connection belong to.
const Part = { head: 'head', body: 'body', chunkSize: 'chunk-size', chunk: 'chunk', trailer: 'trailer' } as const

type Part = typeof Part[keyof typeof Part]

type AddBytes = (tracker: MessageTracker, bytes: Buffer, at: number) => number

/// Follows the messages in the bytes of one direction of a connection (RFC 9112). They are checked where they are
/// served.
export abstract class MessageTracker {
  /// Messages whose head is complete.
  protected begun = 0
  private part: Part = Part.head
  /// Of the body or chunk.
  private remainingBytes = 0
  /// The part of a head or line that has been received.
  private text = ''

  /// Whether all messages that have begun are complete.
  get isBetweenMessages (): boolean {
    return this.part === Part.head && this.text === ''
  }

  /// Whether more messages have begun here than are complete there.
  hasMoreThan (other: MessageTracker): boolean {
    return this.begun > other.count
  }

  /// Messages that are complete.
  get count (): number {
    return this.part === Part.head ? this.begun : this.begun - 1
  }

  /// Called with each head. Returns the length of a body for which the head gives none, null if there is no body.
  protected abstract readHead (head: string): number | null

  add (bytes: Buffer): void {
    for (let at = 0; at < bytes.length;) at = this.addPart(bytes, at)
  }

  /// Completes a message that ends with the connection.
  end (): void {
    if (this.part === Part.body && this.remainingBytes === Infinity) this.part = Part.head
  }

  /// Adds bytes up to the end of a message, or all of them. Returns how many.
  addMessage (bytes: Buffer): number {
    const { count } = this
    let at = 0
    while (at < bytes.length && this.count === count) at = this.addPart(bytes, at)
    return at
  }

  private addPart (bytes: Buffer, at: number): number {
    return MessageTracker.addByPart[this.part](this, bytes, at)
  }

  /// Each adds bytes from `at` on and returns where the next part begins.
  private static readonly addByPart: Readonly<Record<Part, AddBytes>> = {
    [Part.head]: (tracker, bytes, at) => tracker.addHead(bytes, at),
    [Part.body]: (tracker, bytes, at) => tracker.skip(bytes, at, Part.head),
    [Part.chunkSize]: (tracker, bytes, at) => tracker.addChunkSize(bytes, at),
    [Part.chunk]: (tracker, bytes, at) => tracker.skip(bytes, at, Part.chunkSize),
    [Part.trailer]: (tracker, bytes, at) => tracker.addTrailer(bytes, at)
  }

  private addHead (bytes: Buffer, from: number): number {
    if (this.text === '') return this.addFirstPart(bytes, skipBlankLines(bytes, from))
    const length = this.text.length
    this.text += bytes.toString('latin1', from)
    const end = this.text.indexOf(headEnd, Math.max(0, length - headEnd.length))
    if (end < 0) {
      if (this.text.length > maxTextBytes) this.text = this.text.slice(-headEnd.length)
      return bytes.length
    }
    const head = this.text.slice(0, end + 2)
    this.text = ''
    this.startBody(head)
    return from + end + headEnd.length - length
  }

  private addFirstPart (bytes: Buffer, at: number): number {
    const end = bytes.indexOf(headEnd, at)
    if (end < 0) {
      this.text = bytes.toString('latin1', Math.max(at, bytes.length - maxTextBytes))
      return bytes.length
    }
    this.startBody(bytes.toString('latin1', at, end + 2))
    return end + headEnd.length
  }

  private startBody (head: string): void {
    this.begun++
    const defaultLength = this.readHead(head)
    if (defaultLength === null) return
    this.remainingBytes = findContentLength(head) ?? defaultLength
    if (/^transfer-encoding:/im.test(head)) this.part = Part.chunkSize
    else if (this.remainingBytes > 0) this.part = Part.body
  }

  private addChunkSize (bytes: Buffer, at: number): number {
    const end = bytes.indexOf(lineFeed, at)
    if (!this.addLine(bytes, at, end)) return bytes.length
    const size = Number.parseInt(this.text, 16)
    this.text = ''
    this.part = size > 0 ? Part.chunk : Part.trailer
    // With the line break at its end.
    this.remainingBytes = size + 2
    return end + 1
  }

  private addTrailer (bytes: Buffer, at: number): number {
    const end = bytes.indexOf(lineFeed, at)
    if (!this.addLine(bytes, at, end)) return bytes.length
    if (this.text.trim() === '') this.part = Part.head
    this.text = ''
    return end + 1
  }

  private skip (bytes: Buffer, at: number, next: Part): number {
    const count = Math.min(this.remainingBytes, bytes.length - at)
    this.remainingBytes -= count
    if (this.remainingBytes === 0) this.part = next
    return at + count
  }

  /// Adds a part of a line that ends at `end`, beyond these bytes if that is negative. Returns whether it is complete.
  private addLine (bytes: Buffer, from: number, end: number): boolean {
    this.text += bytes.toString('latin1', from, end < 0 ? bytes.length : end)
    if (end < 0) this.text = this.text.slice(0, maxTextBytes)
    return end >= 0
  }
}

/// Blank lines before a message don't belong to it (RFC 9112, section 2.2). Returns where it begins.
function skipBlankLines (bytes: Buffer, from: number): number {
  let at = from
  while (bytes[at] === carriageReturn || bytes[at] === lineFeed) at++
  return at
}

/// Returns the value of the header field, null without one.
function findContentLength (head: string): number | null {
  const length = /^content-length:[ \t]*(\d+)/im.exec(head)?.[1]
  return length === undefined ? null : Number(length)
}
