import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { LoopMonitor } from '#process/clock'
import type { ProcessLoad } from '#process/clock'

let nowMs = 0
let delays: number[]
let stalls: number[]
let loads: ProcessLoad[]
let monitor: LoopMonitor
/// Time in which the event loop did not wait for events.
let activeMs = 0

beforeEach(() => {
  nowMs = activeMs = 0
  delays = []
  stalls = []
  loads = []
  vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval'] })
  vi.spyOn(performance, 'now').mockImplementation(() => nowMs)
  vi.spyOn(performance, 'eventLoopUtilization').mockImplementation((current, previous) => {
    const active = previous === undefined ? activeMs : current!.active - previous.active
    const idle = previous === undefined ? nowMs - activeMs : current!.idle - previous.idle
    return { active, idle, utilization: active / Math.max(1, active + idle) }
  })
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
  checkAt([50, 220, 270, 2420])
  expect(delays).toEqual([0, 120, 0, 2100])
  expect(loads.map(load => [load.maxDelayMs, load.intervalMs])).toEqual([[2100, 2420]])
})

test('an interval with timers on time is not reported', () => {
  checkAt(Array.from({ length: 50 }, (_, i) => (i + 1) * 50))
  expect(loads).toEqual([])
})

test('an interval with timers on time is reported if the event loop was busy', () => {
  checkAt([50])
  activeMs = 900
  checkAt(Array.from({ length: 40 }, (_, i) => (i + 2) * 50))
  expect(loads.map(load => [load.maxDelayMs, load.utilization])).toEqual([[0, 0.45]])
})

test.each([
  ['on time', [50], 80, 0],
  ['within a long iteration, the next check is overdue', [50], 200, 100],
  ['after a long iteration', [50, 200], 210, 100],
  ['in the second of two long iterations', [50, 200], 290, 140],
  ['once timers are on time again', [50, 200, 250], 270, 0]
])('an event handled %s may have waited for the delay so far', (_, checkTimesMs, atMs, expected) => {
  checkAt(checkTimesMs)
  nowMs = atMs
  expect(monitor.currentDelayMs).toBe(expected)
})

test('the mean delay rises within a few long iterations and falls again', () => {
  checkAt([50])
  expect(monitor.meanDelayMs).toBe(0)
  checkAt([300, 550, 800, 1050])
  expect(monitor.meanDelayMs).toBeGreaterThan(150)
  checkAt(Array.from({ length: 60 }, (_, i) => 1100 + i * 50))
  expect(monitor.meanDelayMs).toBeLessThan(10)
})

// Guards against calls that are refused after a stall, though nothing waits.
test('a single stall does not change the mean delay', () => {
  checkAt([50, 1050, 1100, 1150, 1200, 1250, 2250])
  expect(monitor.meanDelayMs).toBe(0)
})

// Guards against calls that are taken though they will wait for too long.
test('stalls with checks on time between them count', () => {
  for (let atMs = 250; atMs < 5000; atMs += 250) checkAt([atMs, atMs + 50])
  expect(monitor.meanDelayMs).toBeGreaterThan(80)
})

// Guards against calls cut off during a planned stop: the time since the last check counted as their wait.
test('once the monitor is stopped, no event counts as delayed', () => {
  checkAt([50])
  monitor.stop()
  nowMs = 3000
  expect(monitor.currentDelayMs).toBe(0)
})
