import type { Socket } from 'node:net'
import { expect, test, vi } from 'vitest'
import { sleep } from '#process/clock'
import { RelayWord } from '../src/relayword.js'
import { End, formatRequest, formatResponse, pipelined, relay } from './relayed.js'
import type { Relayed } from './relayed.js'

// Guards against LOST: a request waited unread at an entry that stopped, and was reset with its connection.
test.each<[string, (entry: Socket) => void]>([
  ['is reset', entry => { entry.resetAndDestroy() }],
  ['is closed', entry => { entry.destroy() }],
  ['stays silent', () => {}]
])('the other entry has not taken the connection, and it %s: the first request is served here, unread until then', async (_, end) => {
  const { caller, entry, onUnreachable, onUnanswered, accepted } = await relay(false)
  caller.socket.write(formatRequest('a1'))
  await sleep(30)
  end(entry.socket)
  await vi.waitFor(() => expect(onUnreachable).toHaveBeenCalled())
  const served = new End(accepted)
  await served.receive(1)
  expect([entry.messages, served.messages, caller.isClosed, onUnanswered.mock.calls]).toEqual([[], ['a1'], false, []])
})

// Guards against busy entries that pass no connections on to one that is less busy, and needs a moment to take them.
test('the other entry is busy and takes the connection late: the connection is relayed', async () => {
  const { caller, entry, onUnreachable } = await relay(false, 500)
  caller.socket.write(formatRequest('a1'))
  await sleep(450)
  entry.socket.write(Buffer.of(RelayWord.taken))
  await entry.receive(1)
  expect(onUnreachable).not.toHaveBeenCalled()
})

// Guards against LOST: requests that were pipelined behind a response that closes the connection were run, unanswered.
test.each([
  ['in one piece', [pipelined]],
  ['cut within a head', [pipelined.slice(0, 60), pipelined.slice(60)]],
  ['after a body', [formatRequest('a0', 'hello') + pipelined]]
])('pipelined requests, %s: the other entry gets none behind a response that closes the connection', async (_, pieces) => {
  const { caller, entry, onReturned } = await relay()
  for (const piece of pieces) {
    caller.socket.write(piece)
    await vi.waitFor(() => expect(entry.messages.length).toBe(1))
  }
  entry.socket.end(formatResponse(200, 'connection: close\r\n'))
  await vi.waitFor(() => expect(onReturned).toHaveBeenCalled())
  await caller.receive(1)
  expect([caller.messages, caller.isClosed]).toEqual([['200'], false])
  expect(entry.messages.length).toBe(1)
})

test('pipelined requests are answered one after the other', async () => {
  const { caller, entry } = await relay()
  caller.socket.write(pipelined)
  for (let i = 1; i <= 3; i++) {
    await entry.receive(i)
    expect(entry.messages.length).toBe(i)
    entry.socket.write(formatResponse(200 + i))
  }
  await caller.receive(3)
  expect([entry.messages, caller.messages]).toEqual([['a1', 'a2', 'a3'], ['201', '202', '203']])
})

// Guards against LOST: a change of the configuration or a stop ended the connection after the response to the first.
test('drained while pipelined requests are under way: those behind the first are served here', async () => {
  const { caller, entry, connection, onReturned, served, send } = await relay()
  await send(pipelined)
  connection.drain()
  entry.socket.write(formatResponse(200))
  await vi.waitFor(() => expect(served()?.messages).toEqual(['a2', 'a3']))
  expect(onReturned).toHaveBeenCalledWith(true)
  expect([entry.messages, caller.messages]).toEqual([['a1'], ['200']])
})

// Guards against LOST: an answer on its way was lost, as the connection was reset with bytes of the caller unread.
test.each<[string, (relayed: Relayed) => void]>([
  ['ends', ({ entry }) => entry.socket.end(formatResponse(503, 'connection: close\r\n'))],
  ['resets', ({ entry: { socket } }) => socket.write(formatResponse(503, 'connection: close\r\n'), () => {
    setTimeout(() => socket.resetAndDestroy(), 20)
  })]
])('a request is refused before its body has arrived, and the other entry %s: the response arrives, and the connection isn\'t reset', async (_, refuse) => {
  const relayed = await relay()
  const { caller, entry, onEnd } = relayed
  caller.socket.write('POST /a1 HTTP/1.1\r\nhost: h\r\ncontent-length: 99000000\r\n\r\n')
  const writing = setInterval(() => { if (caller.socket.writable) caller.socket.write(Buffer.alloc(50_000)) }, 1)
  await entry.receive(1)
  refuse(relayed)
  caller.socket.once('end', () => clearInterval(writing))
  await vi.waitFor(() => expect(caller.isClosed).toBe(true), { timeout: 3000 }).finally(() => clearInterval(writing))
  expect([caller.messages, caller.isReset]).toEqual([['503'], false])
  expect(onEnd).toHaveBeenCalledWith(null)
})

// Guards against sound requests that were refused as too old: they counted as arrived when the connection was opened.
test.each([
  ['has taken it: the next call arrives long after the opening', true, true],
  ['has not taken it: the call may have arrived with the opening', false, false]
])('drained before the first request, the other entry %s', async (_, isTaken, isLate) => {
  const { caller, connection, onReturned } = await relay(isTaken)
  connection.drain()
  caller.socket.write(formatRequest('a1'))
  await vi.waitFor(() => expect(onReturned.mock.calls).toEqual([[isLate]]))
})

// Guards against LOST: a drain between two parts of a request cut it off, or served its rest here.
test.each([
  ['its head', formatRequest('a1').slice(0, 12), formatRequest('a1').slice(12)],
  ['its body', formatRequest('a1', 'hello').slice(0, -3), 'llo']
])('drained within a request, between two parts of %s: the other entry gets it whole, and the next one is served here', async (_, part, rest) => {
  const { caller, entry, connection, served } = await relay()
  caller.socket.write(part)
  await vi.waitFor(() => expect(entry.text).toContain(part))
  connection.drain()
  caller.socket.write(rest + formatRequest('a2'))
  await vi.waitFor(() => expect(entry.text).toContain(part + rest))
  entry.socket.write(formatResponse(200))
  await vi.waitFor(() => expect(served()?.messages).toEqual(['a2']))
  expect([entry.messages, caller.messages]).toEqual([['a1'], ['200']])
})

test('a caller that sends much behind a request is not read until the response is complete', async () => {
  const { entry, accepted, send } = await relay()
  await send(formatRequest('a1') + 'x'.repeat(1_000_000))
  await vi.waitFor(() => expect(accepted.isPaused()).toBe(true))
  entry.socket.write(formatResponse(200))
  await vi.waitFor(() => expect(entry.text.length).toBeGreaterThan(1_000_000))
})

test('bytes of the other entry show that it is not lost', async () => {
  const { other, exchange } = await relay()
  other.unansweredQueries = 9
  await exchange('a1')
  expect(other.unansweredQueries).toBeLessThan(5)
})
