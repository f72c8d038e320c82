import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { LoopMonitor } from '#process/clock'
import type { ProcessLoad } from '#process/clock'

let nowMs = 0
let delays: number[]
let stalls: number[]
let loads: ProcessLoad[]
let monitor: LoopMonitor

beforeEach(() => {
  nowMs = 0
  delays = []
  stalls = []
  loads = []
  vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval'] })
  vi.spyOn(performance, 'now').mockImplementation(() => nowMs)
  monitor = new LoopMonitor({
    onDelay: delayMs => delays.push(delayMs),
    onStall: delayMs => stalls.push(delayMs),
    onLoad: load => loads.push(load)
  })
})

afterEach(() => {
  monitor.stop()
  vi.useRealTimers()
  vi.restoreAllMocks()
})

/// Fires the monitor's timer at each of the times.
function checkAt (timesMs: readonly number[]): void {
  for (const atMs of timesMs) {
    nowMs = atMs
    vi.advanceTimersByTime(50)
  }
}

test.each([
  ['timers on time', [50, 100, 150], []],
  ['a busy event loop', [150, 300, 450], []],
  ['a process frozen for 3 s', [50, 3100, 3150], [3000]]
])('reports only stalls: %s', (_, checkTimesMs, expected) => {
  checkAt(checkTimesMs)
  expect(stalls).toEqual(expected)
})

test('measures how late each timer is, and reports the largest delay of an interval', () => {
  checkAt([50, 220, 270, 2300])
  expect(delays).toEqual([0, 120, 0, 1980])
  expect(loads.map(load => [load.maxDelayMs, load.intervalMs])).toEqual([[1980, 2300]])
})

test('an interval with timers on time is not reported', () => {
  checkAt(Array.from({ length: 50 }, (_, i) => (i + 1) * 50))
  expect(loads).toEqual([])
})
