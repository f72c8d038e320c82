import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { formatOrigin, readOrigin } from '../src/origin.js'

const origin = { entry: 'entry-0', configVersion: 7 }
/// Longer than any wait for the line.
const stallMs = 5000

let server: Server
let client: Socket

beforeEach(() => { vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout'] }) })

afterEach(() => {
  vi.useRealTimers()
  client.destroy()
  server.close()
})

/// Resolves to what was accepted, or to null if the connection is closed without that. The event loop of the entry
/// stalls between the accept and the first read, when the bytes have arrived.
function acceptStalled (bytes: string): Promise<unknown> {
  return new Promise(resolve => {
    const accept = (socket: Socket): void => {
      readOrigin(socket, accepted => resolve(accepted))
      socket.resume()
      vi.advanceTimersByTime(stallMs)
    }
    server = createServer({ pauseOnConnect: true }, socket => {
      socket.on('error', () => {})
      socket.on('close', () => resolve(null))
      client.write(bytes, () => accept(socket))
    })
    server.listen(0, '127.0.0.1', () => {
      client = connect((server.address() as AddressInfo).port, '127.0.0.1')
      client.on('error', () => {})
    })
  })
}

// Guards against requests that wait unread at an entry that stops: it takes no connection then, and says when it does.
test.each<[string, string, boolean, string, boolean]>([
  ['that waits for it, taken', formatOrigin(origin), true, '\x06', true],
  ['that waits for it, not taken', formatOrigin(origin), false, '', false],
  ['of an older entry, taken', 'RELAY 7 entry-0\n', true, '', true],
  ['of an older entry, which passes requests on at once', 'RELAY 7 entry-0\n', false, '', true]
])('a relayed connection %s', async (_, line, isTaking, word, isAccepted) => {
  vi.useRealTimers()
  const accept = vi.fn()
  server = createServer(socket => {
    readOrigin(socket, accept, () => isTaking)
    socket.on('error', () => {})
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  client = connect((server.address() as AddressInfo).port, '127.0.0.1', () => client.write(line))
  let received = ''
  let isClosed = false
  client.on('data', chunk => { received += chunk.toString('latin1') })
  client.on('close', () => { isClosed = true })
  await vi.waitFor(() => expect([accept.mock.calls.length > 0, isClosed]).toEqual([isAccepted, !isAccepted]))
  await vi.waitFor(() => expect(received).toBe(word))
  if (isAccepted) expect(accept).toHaveBeenCalledWith(origin, word !== '')
})

// Guards against LOST: after a stall, relayed connections were closed with the requests in them unread.
test.each([
  ['has arrived: it is read', formatOrigin(origin) + 'POST / HTTP/1.1\r\n\r\n', origin],
  ['has not arrived: the connection is closed', '', null]
])('the event loop stalls after it has accepted a relayed connection, and the first line %s', async (_, bytes, expected) => {
  expect(await acceptStalled(bytes)).toEqual(expected)
})
