import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { Call } from '#request/call'
import { RefusedTurns } from '../src/refusedturns.js'

let refusedTurns: RefusedTurns

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance'] })
  refusedTurns = new RefusedTurns()
})

afterEach(() => { vi.useRealTimers() })

function createCall (previousTurnId: string | null, sessionId = 's'): Call {
  return { previousTurnId, program: { id: 'p', sessionId } } as Call
}

test.each<[string, () => void, number | null]>([
  ['that was refused', () => {}, 5],
  ['that was refused again', () => refusedTurns.add(createCall('t'), 7), 5],
  ['that was refused long ago', () => vi.advanceTimersByTime(10_010), null],
  ['that has started since', () => refusedTurns.delete(createCall('t')), null],
  ['beside others of its program', () => refusedTurns.delete(createCall('t', 'other session')), 5],
  ['before thousands of others', () => {
    for (let i = 0; i < 5000; i++) refusedTurns.add(createCall(`t${i}`), 9)
  }, null]
])('the first try of a turn %s', (_, change, expected) => {
  refusedTurns.add(createCall('t'), 5)
  change()
  expect(refusedTurns.findSinceMs(createCall('t'))).toBe(expected)
})

test('a turn that goes on from none has no place to keep', () => {
  refusedTurns.add(createCall(null), 5)
  expect(refusedTurns.findSinceMs(createCall(null))).toBe(null)
})
