import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { StallDetector } from '#process/clock'

let nowMs = 0

beforeEach(() => {
  nowMs = 0
  vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval'] })
  vi.spyOn(performance, 'now').mockImplementation(() => nowMs)
})

afterEach(() => {
  vi.useRealTimers()
  vi.restoreAllMocks()
})

test.each([
  ['timers on time', [500, 1000, 1500], []],
  ['a busy loop', [600, 1150, 1700], []],
  ['a process that stood still for 3 s', [500, 4000, 4500], [3000]]
])('%s', (_, checkedAtMs, expected) => {
  const stalls: number[] = []
  const watch = new StallDetector(lateMs => stalls.push(lateMs))
  for (const atMs of checkedAtMs) {
    nowMs = atMs
    vi.advanceTimersByTime(500)
  }
  watch.stop()
  expect(stalls).toEqual(expected)
})
