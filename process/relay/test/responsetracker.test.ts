import { expect, test } from 'vitest'
import { ResponseTracker } from '../src/responsetracker.js'

const sized = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'
const chunked = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n'

test.each([
  ['a body with a length', sized, 1],
  ['a body with a length that is not whole', sized.slice(0, -1), 0],
  ['chunks', chunked, 1],
  ['chunks without the last line', chunked.slice(0, -2), 0],
  ['two responses', sized + chunked, 2],
  ['an interim response', 'HTTP/1.1 100 Continue\r\n\r\n', 0],
  ['an interim response and its final one', `HTTP/1.1 100 Continue\r\n\r\n${sized}`, 1],
  ['a status without a body', 'HTTP/1.1 204 No Content\r\n\r\n', 1],
  ['a status without a body, whose head names one', `HTTP/1.1 304 Not Modified\r\ntransfer-encoding: chunked\r\n\r\n${sized}`, 2],
  ['a body that ends with the connection', 'HTTP/1.1 200 OK\r\n\r\nhello', 0]
])('complete responses are counted, in whatever pieces they come: %s', (_, text, count) => {
  for (const pieceBytes of [1, 7, text.length]) {
    const tracker = new ResponseTracker()
    for (let at = 0; at < text.length; at += pieceBytes) tracker.add(Buffer.from(text.slice(at, at + pieceBytes), 'latin1'))
    expect(tracker.count).toBe(count)
  }
})

// Guards against requests without a response: those behind a response that closes the connection were passed on.
test.each([
  ['close', true],
  ['Close ', true],
  ['keep-alive, close', true],
  ['close, te', true],
  ['keep-alive', false],
  ['x-close', false],
  ['keep-alive\r\nvia: close', false]
])('a response with `connection: %s` is the last one: %s', (value, isLast) => {
  const tracker = new ResponseTracker()
  tracker.add(Buffer.from(`HTTP/1.1 200 OK\r\nconnection: ${value}\r\ncontent-length: 0\r\n\r\n`))
  expect(tracker.isLast).toBe(isLast)
})

test('a response to HEAD has a length and no body', () => {
  const tracker = new ResponseTracker()
  tracker.isToHead = true
  tracker.add(Buffer.from('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n'))
  expect([tracker.count, tracker.isBetweenMessages]).toEqual([1, true])
})
