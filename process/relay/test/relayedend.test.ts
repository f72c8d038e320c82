import { expect, test, vi } from 'vitest'
import { sleep } from '#process/clock'
import { RelayWord } from '../src/relayword.js'
import { formatRequest, formatResponse, idleTimeoutMs, pipelined, relay } from './relayed.js'
import type { Relayed } from './relayed.js'

// Guards against requests that cross the close of an entry that stops, if no report of the stop has arrived.
test('the other entry says that it stops while no request is under way: the next one is served here', async () => {
  const { caller, entry, onReturned, exchange } = await relay()
  await exchange('a1')
  entry.socket.write(Buffer.of(RelayWord.stopping))
  await vi.waitFor(() => expect(entry.socket.readableEnded).toBe(true))
  caller.socket.write(formatRequest('a2'))
  await vi.waitFor(() => expect(onReturned).toHaveBeenCalled())
  expect([entry.messages, caller.messages, caller.text.includes('\x04')]).toEqual([['a1'], ['200'], false])
})

test('the other entry says that it stops right behind a response: the caller gets the response only', async () => {
  const { caller, entry, onReturned, send } = await relay()
  await send()
  entry.socket.write(Buffer.concat([Buffer.from(formatResponse(200)), Buffer.of(RelayWord.stopping)]))
  await vi.waitFor(() => expect(entry.socket.readableEnded).toBe(true))
  caller.socket.write(formatRequest('a2'))
  await vi.waitFor(() => expect(onReturned).toHaveBeenCalled())
  expect(caller.text).toBe(formatResponse(200))
})

test.each<[string, Buffer[]]>([
  ['in parts', [Buffer.of(RelayWord.stopping), Buffer.from(formatResponse(200))]],
  ['at once', [Buffer.concat([Buffer.of(RelayWord.stopping), Buffer.from(formatResponse(200))])]]
])('the other entry says that it stops and answers a request that crosses this, %s: the response arrives', async (_, parts) => {
  const { caller, entry, onUnanswered, served, send } = await relay()
  await send(pipelined)
  for (const part of parts) {
    entry.socket.write(part)
    await sleep(20)
  }
  await vi.waitFor(() => expect(served()?.messages).toEqual(['a2', 'a3']))
  expect([entry.messages, caller.text, onUnanswered.mock.calls]).toEqual([['a1'], formatResponse(200), []])
})

test('drained, and no request comes: the connection is closed after the idle timeout', async () => {
  const { caller, entry, connection, onReturned, onEnd, exchange } = await relay()
  await exchange('a1')
  connection.drain()
  await vi.waitFor(() => expect(entry.socket.readableEnded).toBe(true))
  expect(caller.isClosed).toBe(false)
  await vi.waitFor(() => expect(caller.isClosed).toBe(true))
  expect([caller.isReset, onReturned.mock.calls, onEnd.mock.calls]).toEqual([false, [], [[null]]])
})

// Guards against connections that both entries leave open, and against requests that cross a close of the other entry.
test.each([
  ['is opened', 0],
  ['has had a response', 1]
])('no request comes after the connection %s: it is closed after the idle timeout', async (_, requestCount) => {
  const { caller, onUnanswered, onEnd, exchange } = await relay()
  for (let i = 0; i < requestCount; i++) await exchange('a1')
  await sleep(idleTimeoutMs * 0.8)
  expect(caller.isClosed).toBe(false)
  await vi.waitFor(() => expect(caller.isClosed).toBe(true))
  expect([caller.isReset, onUnanswered.mock.calls, onEnd.mock.calls]).toEqual([false, [], [[null]]])
})

test.each([
  ['a response is awaited', formatRequest('a1')],
  ['a part of a request was sent', formatRequest('a1').slice(0, 12)]
])('%s for longer than the idle timeout: the connection stays', async (_, sent) => {
  const { caller, entry } = await relay()
  caller.socket.write(sent)
  await vi.waitFor(() => expect(entry.text).toContain(sent))
  await sleep(idleTimeoutMs * 3)
  expect([caller.isClosed, entry.socket.readableEnded]).toEqual([false, false])
})

test('requests that come before the idle timeout are served for as long as they come', async () => {
  const { caller, exchange } = await relay()
  for (let i = 1; i <= 8; i++) {
    await exchange(`a${i}`, i)
    await sleep(idleTimeoutMs * 0.7)
  }
  expect(caller.isClosed).toBe(false)
})

const ended = { callId: 'a1', isWhole: true, heldBytes: 0, reason: 'the entry ended the connection' }
const lost = { ...ended, status: 502 }

// Guards against requests without a response of which no log says anything.
test.each<[string, string, (relayed: Relayed) => void, Record<string, unknown>]>([
  ['no response', formatRequest('a1'), ({ entry }) => entry.socket.end(), lost],
  ['a part of a response', formatRequest('a1'), ({ entry }) => entry.socket.end(formatResponse(200).slice(0, -1)), ended],
  ['no response to a part of a request', formatRequest('a1', 'hello').slice(0, -1), ({ entry }) => entry.socket.end(), { ...lost, isWhole: false }],
  ['no response, while others wait, which are served here', pipelined, ({ entry }) => entry.socket.end(), lost],
  ['no response to a part of a request, by a reset', formatRequest('a1', 'hello').slice(0, -1), ({ entry }) => entry.socket.resetAndDestroy(), {
    ...lost, isWhole: false, reason: 'read ECONNRESET'
  }],
  ['the last response, by a list of options, while others wait', pipelined, ({ entry }) => entry.socket.end(formatResponse(200, 'connection: x, close\r\n')), {
    callId: null,
    isWhole: true,
    heldBytes: formatRequest('a2').length * 2,
    reason: 'the response before closes the connection'
  }],
  ['no response, as it is aborted', formatRequest('a1'), ({ connection }) => connection.abort('why'), { ...ended, reason: 'why' }],
  ['no response, as it is reset', formatRequest('a1'), ({ entry }) => entry.socket.resetAndDestroy(), { ...lost, reason: 'read ECONNRESET' }]
])('the connection ends with %s: this is reported', async (_, sent, end, unanswered) => {
  const relayed = await relay()
  const { send } = relayed
  await send(sent)
  await vi.waitFor(() => expect(relayed.entry.text).toMatch(/\n\r\n/))
  end(relayed)
  await vi.waitFor(() => expect(relayed.onEnd).toHaveBeenCalled())
  expect(relayed.onUnanswered.mock.calls).toEqual([[unanswered]])
})

test.each<[string, (relayed: Relayed) => void]>([
  ['after a response', ({ entry }) => entry.socket.end(formatResponse(200))],
  ['after a response without a length', ({ entry }) => entry.socket.end('HTTP/1.1 200 OK\r\n\r\nok')],
  ['as the caller leaves', ({ caller }) => caller.socket.end()]
])('the connection ends %s: no request is reported', async (_, end) => {
  const relayed = await relay()
  const { send } = relayed
  await send()
  end(relayed)
  await vi.waitFor(() => expect(relayed.onEnd).toHaveBeenCalled())
  expect(relayed.onUnanswered).not.toHaveBeenCalled()
})

// Guards against LOST: what was read behind the last response of an entry that stops was dropped.
test('requests held behind a response with which the other entry closes its connection are served here', async () => {
  const { caller, entry, onReturned, onUnanswered, send } = await relay()
  await send(pipelined)
  entry.socket.end(formatResponse(503, 'connection: close\r\n'))
  await caller.receive(1)
  expect(caller.text).not.toMatch(/connection: close/)
  await vi.waitFor(() => expect(onUnanswered.mock.calls.length + onReturned.mock.calls.length).toBe(1))
  expect([onUnanswered.mock.calls, onReturned.mock.calls.length]).toEqual([[], 1])
})

const interim = 'HTTP/1.1 100 Continue\r\n\r\n'
const last = formatResponse(503, 'connection: close\r\n')

// Guards against LOST: what was read behind a last response was dropped, if its head didn't come at once and by itself.
test.each<[string, string[]]>([
  ['in two pieces', [last.slice(0, 30), last.slice(30)]],
  ['cut at the end of its head', [last.slice(0, -3), last.slice(-3)]],
  ['byte by byte', [...last]],
  ['behind an interim response', [interim + last]],
  ['after an interim response', [interim, last]],
  ['in a piece with an interim response', [interim + last.slice(0, 30), last.slice(30)]]
])('requests are held behind a last response, which comes %s: they are served here', async (_, pieces) => {
  const { caller, entry, onUnanswered, served, send } = await relay()
  await send(pipelined)
  entry.socket.setNoDelay()
  for (const piece of pieces) {
    entry.socket.write(piece)
    await sleep(5)
  }
  entry.socket.end()
  await vi.waitFor(() => expect(served()?.messages).toEqual(['a2', 'a3']))
  expect(onUnanswered).not.toHaveBeenCalled()
  const expected = (pieces[0]!.startsWith(interim) ? interim : '') + formatResponse(503)
  await vi.waitFor(() => expect(caller.text).toBe(expected))
})

const chunkedHead = 'HTTP/1.1 200 X\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n'

// Guards against LOST: a request that crossed the head of the last response was dropped when the response ended.
test('a request crosses the head of a stream that says `close`: it is served here when the stream ends', async () => {
  const { caller, entry, onUnanswered, served, send } = await relay()
  await send()
  entry.socket.write(chunkedHead + '1\r\nx\r\n')
  await vi.waitFor(() => expect(caller.text).toMatch(/x\r\n$/))
  caller.socket.write(formatRequest('a2'))
  await sleep(20)
  entry.socket.end('0\r\n\r\n')
  await vi.waitFor(() => expect(served()?.messages).toEqual(['a2']))
  expect([caller.isClosed, entry.messages, onUnanswered.mock.calls]).toEqual([false, ['a1'], []])
})

test.each<[string, string, string]>([
  ['asked for by the caller', 'POST /a1 HTTP/1.1\r\nhost: h\r\nConnection: close\r\ncontent-length: 0\r\n\r\n', formatResponse(200, 'connection: close\r\n')],
  ['of a response without a length', formatRequest('a1'), 'HTTP/1.1 200 X\r\nconnection: close\r\n\r\nok'],
  ['of a rejection', formatRequest('a1'), formatResponse(400, 'connection: close\r\n')]
])('the close %s is passed on, and the connection ends', async (_, request, response) => {
  const { caller, entry, onUnanswered, send } = await relay()
  await send(request)
  entry.socket.end(response)
  await vi.waitFor(() => expect(caller.isClosed).toBe(true))
  expect([caller.text, caller.isReset, onUnanswered.mock.calls]).toEqual([response, false, []])
})

// Guards against requests hidden in a malformed one, whose end the other entry may see elsewhere.
test('what was read behind a rejected request is not served', async () => {
  const { caller, entry, onReturned, onUnanswered, send } = await relay()
  await send(pipelined)
  entry.socket.end(formatResponse(400, 'connection: close\r\n'))
  await vi.waitFor(() => expect(caller.isClosed).toBe(true))
  expect([caller.messages, onReturned.mock.calls.length, onUnanswered.mock.calls.length]).toEqual([['400'], 0, 1])
})

// Guards against connections that are never closed, as neither entry can write on.
test('a caller that stops reading a response does not keep its connections for good, and this is reported', async () => {
  const { caller, entry, accepted, onUnanswered, onEnd, send } = await relay()
  await send()
  vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval', 'performance'] })
  try {
    caller.socket.pause()
    entry.socket.write('HTTP/1.1 200 X\r\ncontent-length: 99000000\r\n\r\n')
    entry.socket.write(Buffer.alloc(64 * 1024 * 1024))
    while (accepted.writableLength === 0) await new Promise(resolve => setImmediate(resolve))
    for (let i = 0; i < 500; i++) await new Promise(resolve => setImmediate(resolve))
    await vi.advanceTimersByTimeAsync(28_000)
    expect(accepted.destroyed).toBe(false)
    await vi.advanceTimersByTimeAsync(6000)
    expect(accepted.destroyed).toBe(true)
  } finally {
    vi.useRealTimers()
  }
  await vi.waitFor(() => expect(onEnd).toHaveBeenCalled())
  expect(onUnanswered.mock.calls).toEqual([[{ callId: 'a1', isWhole: true, heldBytes: 0, reason: 'the caller stopped reading' }]])
})
