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
    vi.advanceTimersByTime(20)
  }
}

test.each([
  ['timers on time', [20, 40, 60], []],
  ['a busy event loop', [150, 300, 450], []],
  ['a process frozen for 3 s', [20, 3040, 3060], [3000]]
])('reports only stalls: %s', (_, checkTimesMs, expected) => {
  checkAt(checkTimesMs)
  expect(stalls).toEqual(expected)
})

test('measures how late each timer is, and reports the largest delay of an interval', () => {
  checkAt([20, 160, 180, 2300])
  expect(delays).toEqual([0, 120, 0, 2100])
  expect(loads.map(load => [load.maxDelayMs, load.intervalMs])).toEqual([[2100, 2300]])
})

test('an interval with timers on time is not reported', () => {
  checkAt(Array.from({ length: 120 }, (_, i) => (i + 1) * 20))
  expect(loads).toEqual([])
})

test.each([
  ['on time', [20], 30, 0],
  ['within a long iteration, the next check is overdue', [20], 140, 100],
  ['after a long iteration', [20, 140], 150, 100],
  ['in the second of two long iterations', [20, 140], 200, 140],
  ['once timers are on time again', [20, 140, 160], 170, 0]
])('an event handled %s may have waited for the delay so far', (_, checkTimesMs, atMs, expected) => {
  checkAt(checkTimesMs)
  nowMs = atMs
  expect(monitor.currentDelayMs).toBe(expected)
})

test('the mean delay rises within a few long iterations and falls again', () => {
  checkAt([20])
  expect(monitor.meanDelayMs).toBe(0)
  checkAt([240, 460, 680, 900])
  expect(monitor.meanDelayMs).toBeGreaterThan(150)
  checkAt(Array.from({ length: 60 }, (_, i) => 920 + i * 20))
  expect(monitor.meanDelayMs).toBeLessThan(10)
})

// Guards against calls cut off during a planned stop: the time since the last check counted as their wait.
test('once the monitor is stopped, no event counts as delayed', () => {
  checkAt([20])
  monitor.stop()
  nowMs = 3000
  expect(monitor.currentDelayMs).toBe(0)
})
