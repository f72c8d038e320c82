import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { RefusedTurns } from '../src/refusedturns.js'

let refusedTurns: RefusedTurns

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance'] })
  refusedTurns = new RefusedTurns()
})

afterEach(() => { vi.useRealTimers() })

test.each<[string, () => unknown, number | null]>([
  ['that was refused', () => {}, 5],
  ['that was refused again', () => refusedTurns.add('t', 7), 5],
  ['that one of them has gone on from since', () => refusedTurns.take('t'), null],
  ['that was refused long ago', () => vi.advanceTimersByTime(10_010), null],
  ['before thousands of others', () => { for (let i = 0; i < 5000; i++) refusedTurns.add(`t${i}`, 9) }, null]
])('since when callers have tried to go on: a turn %s', (_, change, expected) => {
  refusedTurns.add('t', 5)
  change()
  expect(refusedTurns.take('t')).toBe(expected)
})

test('a first turn has no place to keep', () => {
  refusedTurns.add(null, 5)
  expect(refusedTurns.take(null)).toBe(null)
})
