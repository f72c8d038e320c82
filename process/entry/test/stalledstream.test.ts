import type { Socket } from 'node:net'
import { afterEach, expect, test, vi } from 'vitest'
import type { EntryHarness } from './harness.js'
import { receiveRaw } from './rawcaller.js'
import { RawUpstream } from './rawupstream.js'

let upstream: RawUpstream
let entry: EntryHarness

afterEach(async () => {
  upstream.close()
  await entry.close()
})

const head = (id: string): string =>
  `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nserver-signature: s\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n`

const event = (number: number): string => `id: ${number}\ndata: ${'piece '.repeat(40)}${number}\n\n`

/// Writes one byte of `text` at a time.
function trickle (socket: Socket, text: string, intervalMs: number): void {
  let sent = 0
  const timer = setInterval(() => {
    if (socket.destroyed || sent === text.length) clearInterval(timer)
    else socket.write(text[sent++]!)
  }, intervalMs)
}

// Guards against stalled streams that send a byte now and then and never end.
test.each([
  ['bytes of an event', event(2)],
  ['comments', ':\n'.repeat(100)],
  ['comments as events', ':\n\n'.repeat(100)]
])('a resumable stream that sends only %s now and then is resumed at another instance in time', async (_, text) => {
  upstream = new RawUpstream((id, number, socket) => {
    socket.write(head(id))
    if (number > 0) return socket.end(event(2) + event(3))
    socket.write(event(1))
    trickle(socket, text, 50)
  })
  entry = await upstream.startEntry(['models-0', 'models-1'])
  const startedAtMs = performance.now()
  const bytes = await receiveRaw(entry.address, '/query/1')
  expect(bytes).toContain(event(3))
  expect(performance.now() - startedAtMs).toBeLessThan(1400)
  expect(upstream.callIds.length).toBe(2)
})

// Guards against sound streams that are given up since the entry itself has stood still.
test.each(['/query/1', '/check/1'])('data that arrived while the event loop stalled counts as progress (%s)', async path => {
  const stallMs = 1000
  upstream = new RawUpstream((id, _, socket) => {
    socket.write(head(id) + event(1))
    setTimeout(() => {
      socket.end(event(2))
      // Timers that are due run before the data is read.
      setImmediate(() => {
        const untilMs = performance.now() + stallMs
        while (performance.now() < untilMs);
      })
    }, 20)
  })
  entry = await upstream.startEntry(['models-0', 'models-1', 'tools-0', 'tools-1'])
  expect(await receiveRaw(entry.address, path, 'a1', 4000)).toContain(event(2))
  expect(upstream.callIds.length).toBe(1)
})

// Guards against slow but sound streams that are cut.
test('a slow stream with one event after another is not cut', async () => {
  upstream = new RawUpstream((id, _, socket) => {
    socket.write(head(id))
    let number = 0
    const timer = setInterval(() => {
      socket.write(event(++number))
      if (number < 4) return
      clearInterval(timer)
      socket.end()
    }, 330)
  })
  entry = await upstream.startEntry(['models-0', 'models-1'])
  const bytes = await receiveRaw(entry.address, '/query/1')
  expect(bytes).toContain(event(4))
  expect(upstream.callIds.length).toBe(1)
})

/// Writes four events, with a pause before the last two, after those that the caller has received.
function writeWithPause (socket: Socket, firstEvent: number, pauseMs: number): void {
  const events = [1, 2, 3, 4].filter(number => number >= firstEvent)
  for (const number of events.filter(number => number < 3)) socket.write(event(number))
  setTimeout(() => {
    if (!socket.destroyed) socket.end([3, 4].map(event).join(''))
  }, pauseMs)
}

/// As if other entries used the instances that have no call of this one.
function reportOthers (othersRunning: number): void {
  for (const instance of entry.registry.readyInstances('models')) {
    if (instance.running > 0) continue
    instance.othersRunning = othersRunning
    instance.loadReportedAtMs = performance.now()
  }
}

// Guards against LOST: sound streams that paused were cut after two instances had been silent for 900 ms each, or after
// the first if no other one had capacity. Silence is no reason to end an answer sooner.
test.each([
  ['both instances pause', ['models-0', 'models-1'], 0],
  ['there is one instance', ['models-0'], 0],
  ['the other instance has no capacity', ['models-0', 'models-1'], 1000]
])('a resumable stream with a pause of 1.2 s is not cut: %s', async (_, ids, othersRunning) => {
  upstream = new RawUpstream((id, number, socket) => {
    socket.write(head(id))
    const isResumed = number > 0
    writeWithPause(socket, isResumed ? 3 : 1, 1200)
  })
  entry = await upstream.startEntry(ids)
  const pending = receiveRaw(entry.address, '/query/1', 'a1', 4000)
  await vi.waitFor(() => expect(upstream.callIds.length).toBe(1))
  const reports = setInterval(() => reportOthers(othersRunning), 20)
  const bytes = await pending
  clearInterval(reports)
  for (const number of [1, 2, 3, 4]) expect(bytes.split(event(number)).length).toBe(2)
  expect(upstream.callIds.length).toBe(othersRunning > 0 ? 1 : ids.length)
})
