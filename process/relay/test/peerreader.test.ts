import fc from 'fast-check'
import { expect, test } from 'vitest'
import { PeerReader } from '../src/peerreader.js'
import { RelayWord } from '../src/relayword.js'
import { ResponseTracker } from '../src/responsetracker.js'

const seed = 20261206
const word = String.fromCharCode(RelayWord.stopping)
/// Bodies hold the byte of the word, too.
const body = `${word}ok${word}`

const responses = [
  `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
  `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${body.length}\r\n${body}\r\n0\r\n\r\n`,
  `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n${word}\r\n0\r\nx: y\r\n\r\n`,
  'HTTP/1.1 204 No Content\r\n\r\n',
  'HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n',
  `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n${word}`
]

// Guards against words that get into responses, and bytes of responses that are taken for words.
test(`words come between responses, in whatever pieces: only they are taken out (seed ${seed})`, () => {
  const message = fc.tuple(fc.boolean(), fc.constantFrom(...responses))
  const cuts = fc.array(fc.nat(400), { maxLength: 30 })
  fc.assert(fc.property(fc.array(message, { minLength: 1, maxLength: 5 }), cuts, (messages, places) => {
    const sent = messages.map(([hasWord, response]) => `${hasWord ? word : ''}${response}`).join('')
    let [received, words, heads] = ['', 0, 0]
    const tracker = new ResponseTracker()
    const reader = new PeerReader(tracker, {
      isOver: () => false,
      onStopWord: () => { words++ },
      onPart: (part, hasHead) => {
        received += part.toString('latin1')
        if (hasHead) heads++
      }
    })
    const ends = [...places.filter(place => place < sent.length), sent.length].sort((a, b) => a - b)
    ends.forEach((end, i) => reader.add(Buffer.from(sent.slice(ends[i - 1] ?? 0, end), 'latin1')))
    expect(received).toBe(messages.map(([, response]) => response).join(''))
    expect(words).toBe(messages.filter(([hasWord]) => hasWord).length)
    expect(tracker.count).toBe(messages.length)
    expect(heads).toBeGreaterThanOrEqual(messages.length)
  }), { seed, numRuns: 2000 })
})
