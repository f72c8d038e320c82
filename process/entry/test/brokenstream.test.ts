import { afterEach, describe, expect, test, vi } from 'vitest'
import { listObjects } from '#standin/store'
import { EntryHarness } from './harness.js'
import { receiveRaw } from './rawcaller.js'
import { RawUpstream } from './rawupstream.js'

const secret = 'internal error at line 7'
const started = 'id: 1\ndata: first\n\n'

let upstream: RawUpstream
let entries: EntryHarness[]

afterEach(async () => {
  upstream.close()
  await Promise.all(entries.map(entry => entry.close()))
})

const streamHead = (id: string): string =>
  `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nserver-signature: s\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`

const inChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`

const answer = (status: string, type: string) => (id: string): string =>
  `HTTP/1.1 ${status}\r\nattempt-id: ${id}\r\nserver-signature: s\r\ncontent-type: ${type}\r\ncontent-length: ${secret.length}\r\n\r\n${secret}`

const responses: [string, (id: string) => string][] = [
  ['status 500 and a text', answer('500 Internal Server Error', 'text/plain')],
  ['status 500 and an event stream', answer('500 Internal Server Error', 'text/event-stream')],
  ['status 200 and a text', answer('200 OK', 'text/plain')],
  ['status 503, without an id', () => `HTTP/1.1 503 Full\r\nnot-executed: 1\r\ncontent-length: ${secret.length}\r\n\r\n${secret}`],
  ['bytes that are not HTTP', () => `${secret}\r\n\r\n`],
  ['a head that ends early', () => `HTTP/1.1 500 Error\r\nx-note: ${secret}`]
]

/// Starts an entry with two instances. The first one to get the call begins a stream and breaks off.
async function startEntry (respond: (id: string) => string): Promise<void> {
  upstream = new RawUpstream((id, number, socket) => {
    if (number > 0) socket.end(respond(id))
    else socket.write(streamHead(id) + inChunk(`${started}id: 2\nda`), () => socket.destroy())
  })
  entries = [await upstream.startEntry(['models-0', 'models-1'])]
}

// Guards against an error's text within a stream, and against a stream that ends as if it were complete.
describe('a stream has begun and breaks off, and the next instance answers with', () => {
  test.each(responses)('%s: the caller gets whole events only, and a broken end', async (_, respond) => {
    await startEntry(respond)
    const bytes = await receiveRaw(entries[0]!.address, '/query/1')
    expect(upstream.callIds.length).toBe(2)
    expect(bytes.slice(bytes.indexOf('\r\n\r\n') + 4)).toBe(inChunk(started))
    expect(bytes.match(/HTTP\/1\.1/g)).toEqual(['HTTP/1.1'])
  })

  test.each(responses)('%s, at another entry that serves the call', async (_, respond) => {
    await startEntry(respond)
    const busy = new EntryHarness([])
    entries.push(busy)
    await busy.listen()
    vi.spyOn(busy.serviceTime, 'expectedMs', 'get').mockReturnValue(1000)
    const spec = { address: entries[0]!.relayAddress, zone: 'z', processors: 1 }
    listObjects(busy.directory, { objects: [{ name: 'entry-1', revision: 1, spec, status: null }], revision: 1 })
    busy.directory.recordReport({ name: 'entry-1', expectedMs: 1, configVersion: 1, isReady: true, isQuery: false, askersProcessors: 0 })
    const bytes = await receiveRaw(busy.address, '/query/1')
    expect(bytes.slice(bytes.indexOf('\r\n\r\n') + 4)).toBe(inChunk(started))
    expect(bytes.match(/HTTP\/1\.1/g)).toEqual(['HTTP/1.1'])
  })
})
