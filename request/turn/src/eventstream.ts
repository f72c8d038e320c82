/// One complete event of a stream.
export interface StreamEvent {
  /// Its bytes as received, including the blank line.
  readonly bytes: Buffer
  /// -1 if the event has no numeric id.
  readonly id: number
  /// Null if the event has no data.
  readonly data: string | null
}

/// An instance may send bytes without end that never complete an event.
const maxEventBytes = 256 * 1024

/// Splits a `text/event-stream` body into complete events.
export class EventStreamParser {
  private buffered: Buffer = Buffer.alloc(0)

  /// Whether the bytes received so far end within an event.
  get hasPartialEvent (): boolean {
    return this.buffered.length > 0
  }

  /// Yields the events that the chunk completes. Throws if an event gets too large.
  * push (chunk: Buffer): Generator<StreamEvent> {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk])
    for (let end = findEventEnd(this.buffered); end >= 0; end = findEventEnd(this.buffered)) {
      const event = parseEvent(this.buffered.subarray(0, end))
      this.buffered = this.buffered.subarray(end)
      yield event
    }
    if (this.buffered.length > maxEventBytes) throw new Error(`an event is larger than ${maxEventBytes} bytes`)
  }
}

function findEventEnd (bytes: Buffer): number {
  const lfIndex = bytes.indexOf('\n\n')
  // Not searched beyond the event's end: the rest of a chunk may hold thousands of events.
  const crlfIndex = (lfIndex < 0 ? bytes : bytes.subarray(0, lfIndex)).indexOf('\r\n\r\n')
  if (lfIndex < 0 && crlfIndex < 0) return -1
  return crlfIndex < 0 || (lfIndex >= 0 && lfIndex < crlfIndex) ? lfIndex + 2 : crlfIndex + 4
}

function parseEvent (bytes: Buffer): StreamEvent {
  let id = -1
  const data: string[] = []
  for (const line of bytes.toString('utf8').split(/\r?\n/)) {
    const colon = line.indexOf(':')
    if (colon <= 0) continue
    const name = line.slice(0, colon)
    const value = line.slice(line[colon + 1] === ' ' ? colon + 2 : colon + 1)
    if (name === 'data') data.push(value)
    else if (name === 'id' && /^\d{1,9}$/.test(value)) id = Number(value)
  }
  return { bytes, id, data: data.length === 0 ? null : data.join('\n') }
}
