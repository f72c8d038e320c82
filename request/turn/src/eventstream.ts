/// One whole event of a stream.
export interface StreamEvent {
  /// Its bytes as they were received, the blank line included.
  readonly bytes: Buffer
  /// -1 where the event has no number.
  readonly id: number
  /// Null where the event has no data.
  readonly data: string | null
}

/// Splits a `text/event-stream` body into whole events.
export class EventStreamParser {
  private rest: Buffer = Buffer.alloc(0)

  /// Whether bytes of an event that isn't whole yet are left.
  get hasPartialEvent (): boolean {
    return this.rest.length > 0
  }

  push (chunk: Buffer): StreamEvent[] {
    this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk])
    const events: StreamEvent[] = []
    for (let end = endOfEvent(this.rest); end >= 0; end = endOfEvent(this.rest)) {
      events.push(parseEvent(this.rest.subarray(0, end)))
      this.rest = this.rest.subarray(end)
    }
    return events
  }
}

function endOfEvent (bytes: Buffer): number {
  const plain = bytes.indexOf('\n\n')
  const windows = bytes.indexOf('\r\n\r\n')
  if (plain < 0 && windows < 0) return -1
  return windows < 0 || (plain >= 0 && plain < windows) ? plain + 2 : windows + 4
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
