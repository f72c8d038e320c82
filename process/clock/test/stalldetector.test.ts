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
  ['a busy event loop', [600, 1150, 1700], []],
  ['a process frozen for 3 s', [500, 4000, 4500], [3000]]
])('reports only stalls: %s', (_, checkTimesMs, expected) => {
  const stalls: number[] = []
  const detector = new StallDetector(lateMs => stalls.push(lateMs))
  for (const atMs of checkTimesMs) {
    nowMs = atMs
    vi.advanceTimersByTime(500)
  }
  detector.stop()
  expect(stalls).toEqual(expected)
})
