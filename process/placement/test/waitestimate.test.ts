import { expect, test } from 'vitest'
import { WaitEstimate } from '../src/waitestimate.js'

/// Grants a lease each `intervalMs` for `durationMs` from `sinceMs` on. Returns the time at the end.
function grant (estimate: WaitEstimate, sinceMs: number, intervalMs: number, durationMs: number): number {
  for (let atMs = sinceMs + intervalMs; atMs <= sinceMs + durationMs; atMs += intervalMs) estimate.recordGrant(atMs)
  return sinceMs + durationMs
}

test.each([
  ['a steady rate', 20, 3000, 9, 200],
  ['the same rate after a short time', 20, 400, 9, 200],
  ['a slow rate', 100, 6000, 4, 500]
])('while calls wait, %s gives the time until those ahead are placed', (_, intervalMs, durationMs, ahead, expectedMs) => {
  const estimate = new WaitEstimate()
  estimate.countWaiting(1, 0)
  const nowMs = grant(estimate, 0, intervalMs, durationMs)
  expect(estimate.getExpectedMs(ahead, nowMs)! / expectedMs).toBeCloseTo(1, 0)
  expect(estimate.isTooLong(ahead, expectedMs, nowMs)).toBe(false)
  expect(estimate.isTooLong(ahead * 5, expectedMs, nowMs)).toBe(true)
})

// Guards against refusals by an estimate of a few samples, or of a time in which calls were few.
test.each<[string, (estimate: WaitEstimate) => number]>([
  ['nothing has waited', estimate => grant(estimate, 0, 200, 10_000)],
  ['calls have just begun to wait after a calm time', estimate => {
    const nowMs = grant(estimate, 0, 200, 10_000)
    estimate.countWaiting(1, nowMs)
    return nowMs + 50
  }],
  ['few were granted', estimate => {
    estimate.countWaiting(1, 0)
    return grant(estimate, 0, 500, 4000)
  }],
  ['the last ones were granted long ago', estimate => {
    estimate.countWaiting(1, 0)
    return grant(estimate, 0, 20, 2000) + 10_000
  }]
])('the wait is not estimated if %s', (_, replay) => {
  const estimate = new WaitEstimate()
  const nowMs = replay(estimate)
  expect([estimate.getExpectedMs(100, nowMs), estimate.isTooLong(100, 10, nowMs)]).toEqual([null, false])
})

// Guards against a rate that is taken for the capacity although nobody waited for a part of the time.
test('time in which no call waits does not count', () => {
  const estimate = new WaitEstimate()
  let nowMs = 0
  for (let i = 0; i < 20; i++) {
    estimate.countWaiting(1, nowMs)
    nowMs = grant(estimate, nowMs, 10, 200)
    estimate.countWaiting(-1, nowMs)
    nowMs += 300
  }
  estimate.countWaiting(1, nowMs)
  expect(estimate.getExpectedMs(9, nowMs)! / 100).toBeCloseTo(1, 0)
})
