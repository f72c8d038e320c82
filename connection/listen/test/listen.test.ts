import { createServer } from 'node:net'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { keepListening } from '#connection/listen'
import type { EventKind } from '#process/log'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/// A listener whose address can't be bound for so many attempts.
function startListening (failures: number): { lines: string[], abort: () => void, outcome: () => string } {
  const lines: string[] = []
  const stopping = new AbortController()
  let attempts = 0
  let outcome = 'waits'
  const listener = {
    listen: async () => { if (++attempts <= failures) throw new Error('EADDRNOTAVAIL') },
    onError: () => {}
  }
  const log = { event: (kind: EventKind) => { lines.push(kind.name) } }
  keepListening(listener, { name: 'callers', address: '10.0.0.1:80', log, signal: stopping.signal })
    .then(() => { outcome = 'bound' }, (error: unknown) => { outcome = String(error) })
  return { lines, abort: () => stopping.abort('SIGTERM'), outcome: () => outcome }
}

test.each<[string, number, string[]]>([
  ['at once', 0, []],
  ['after a moment', 3, ['listen-failed', 'listen-recovered']],
  ['after 25 s', 250, ['listen-failed', 'listen-failed', 'listen-failed', 'listen-recovered']]
])('an address that can be bound %s', async (_, failures, expected) => {
  const { lines, outcome } = startListening(failures)
  await vi.advanceTimersByTimeAsync(100 * failures)
  expect(outcome()).toBe('bound')
  expect(lines).toEqual(expected)
})

test('an error of a bound listener is logged, and ends nothing', async () => {
  const lines: string[] = []
  const server = createServer()
  const listener = {
    listen: async () => {},
    onError: (handle: (error: Error) => void) => { server.on('error', handle) }
  }
  const log = { event: (kind: EventKind) => { lines.push(kind.name) } }
  await keepListening(listener, { name: 'callers', address: '10.0.0.1:80', log, signal: new AbortController().signal })
  server.emit('error', new Error('EMFILE'))
  expect(lines).toEqual(['listener-failed'])
})

test('a stop ends the attempts', async () => {
  const { abort, outcome } = startListening(Infinity)
  await vi.advanceTimersByTimeAsync(3_600_000)
  expect(outcome()).toBe('waits')
  abort()
  await vi.advanceTimersByTimeAsync(0)
  expect(outcome()).toBe('SIGTERM')
})
