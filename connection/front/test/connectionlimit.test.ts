import { expect, test } from 'vitest'
import { ConnectionLimit, ConnectionUse } from '#connection/front'
import type { HeldConnection } from '#connection/front'

// Guards against callers that keep others out by holding many connections open.

const closed: string[] = []

function createConnection (name: string, use: ConnectionUse, progressAtMs: number): HeldConnection {
  return { use, progressAtMs, close: () => closed.push(name) }
}

test.each<[string, [string, ConnectionUse, number][], string[], boolean]>([
  ['the one that waits for longest is closed', [['a', 'waiting', 2], ['b', 'waiting', 1], ['c', 'serving', 0]], ['b'], true],
  ['one that waits is closed before one whose response is unread', [['a', 'sending', 1], ['b', 'waiting', 2]], ['b'], true],
  ['an unread response is closed before the new one', [['a', 'sending', 1], ['b', 'serving', 0]], ['a'], true],
  ['one with many pipelined requests is closed before the new one', [['a', 'serving', 0], ['b', 'pipelining', 1]], ['b'], true],
  ['no connection whose request is being served is closed', [['a', 'serving', 0], ['b', 'serving', 0]], [], false]
])('with a full limit: %s', (_, connections, expected, isAdded) => {
  closed.length = 0
  const limit = new ConnectionLimit(connections.length)
  for (const connection of connections) expect(limit.add(createConnection(...connection))).toBe(true)
  expect(closed).toEqual([])
  expect(limit.add(createConnection('new', 'waiting', 3))).toBe(isAdded)
  expect(closed).toEqual(expected)
})

test('a connection that was told to close makes room once', () => {
  closed.length = 0
  const limit = new ConnectionLimit(2)
  const [first, second] = [createConnection('a', 'waiting', 1), createConnection('b', 'waiting', 2)]
  limit.add(first)
  limit.add(second)
  limit.add(createConnection('c', 'serving', 3))
  limit.add(createConnection('d', 'serving', 3))
  expect(closed).toEqual(['a', 'b'])
  expect(limit.add(createConnection('e', 'serving', 3))).toBe(false)
  limit.remove(first)
  limit.remove(second)
  expect(limit.count).toBe(2)
  expect(limit.add(createConnection('f', 'serving', 3))).toBe(false)
})
