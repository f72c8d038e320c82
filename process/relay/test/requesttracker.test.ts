import fc from 'fast-check'
import { expect, test } from 'vitest'
import { RequestTracker } from '../src/requesttracker.js'

const get = 'GET /a HTTP/1.1\r\nhost: h\r\n\r\n'
const sized = 'POST /a HTTP/1.1\r\nContent-Length: 11\r\nhost: h\r\n\r\nhello\r\n\r\nyo'
const empty = 'POST /a HTTP/1.1\r\ncontent-length:0\r\n\r\n'
const chunked = 'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\nb\r\n GET / HTTP \r\n0\r\n\r\n'
const withTrailer = 'POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nz\r\n0\r\nx: y\r\n\r\n'

const requests = fc.array(fc.constantFrom(get, sized, empty, chunked, withTrailer), { minLength: 1, maxLength: 6 })

// Guards against uploads that pause and are cut off, since the connection was taken for one between two requests.
test('a connection is between two requests at the ends of requests only, in whatever pieces they come', () => {
  fc.assert(fc.property(requests, fc.array(fc.integer({ min: 1, max: 40 })), (texts, sizes) => {
    const bytes = Buffer.from(texts.join(''), 'latin1')
    const ends = new Set<number>()
    for (let at = 0, i = 0; i < texts.length; i++) ends.add(at += texts[i]!.length)
    const tracker = new RequestTracker()
    expect(tracker.isBetweenMessages).toBe(true)
    for (let at = 0, i = 0; at < bytes.length; i++) {
      const next = Math.min(bytes.length, at + (sizes[i % Math.max(1, sizes.length)] ?? 7))
      tracker.add(bytes.subarray(at, next))
      at = next
      expect(tracker.isBetweenMessages).toBe(ends.has(at))
    }
  }), { numRuns: 500 })
})

// Guards against requests without a response: blank lines counted as a request, to which none comes.
test.each(['\r\n', '\r\n\r\n', '\r\n\r\n\r\n'])('blank lines before a request are none: %j', blankLines => {
  const tracker = new RequestTracker()
  for (const byte of blankLines) {
    tracker.add(Buffer.from(byte))
    expect([tracker.count, tracker.isBetweenMessages]).toEqual([0, true])
  }
  tracker.add(Buffer.from(get))
  expect([tracker.count, tracker.isBetweenMessages]).toEqual([1, true])
})

test('requests are added one by one, in whatever pieces they come', () => {
  fc.assert(fc.property(requests, fc.integer({ min: 1, max: 200 }), (texts, pieceBytes) => {
    const bytes = Buffer.from(texts.join(''), 'latin1')
    const tracker = new RequestTracker()
    const ends: number[] = []
    for (let at = 0; at < bytes.length;) {
      const { count } = tracker
      at += tracker.addMessage(bytes.subarray(at, at + pieceBytes))
      if (tracker.count > count) ends.push(at)
    }
    expect(ends).toEqual(texts.map((_, i) => texts.slice(0, i + 1).join('').length))
  }))
})

test('bytes that are no request take bounded memory, and are no end of one', () => {
  const tracker = new RequestTracker()
  for (let i = 0; i < 100; i++) tracker.add(Buffer.alloc(100_000, 'x'))
  expect(tracker.isBetweenMessages).toBe(false)
  expect(JSON.stringify(tracker).length).toBeLessThan(200_000)
})
