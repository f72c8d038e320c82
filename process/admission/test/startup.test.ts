import { setImmediate as nextIteration } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { Call, RefusedError } from '#request/call'
import { RouteKind } from '#version/configuration'
import type { Route } from '#version/configuration'
import { Admission, StartupPhase } from '#process/admission'
import { StartPace } from '../src/startpace.js'

// Load pattern: all entries start at once, and callers that have waited for that send their calls.

let nowMs = 0
let started: string[]
let refused: string[]

beforeEach(() => {
  nowMs = 0
  started = []
  refused = []
  vi.spyOn(performance, 'now').mockImplementation(() => nowMs)
})

afterEach(() => { vi.restoreAllMocks() })

function admit (admission: Admission, id: string, previousTurnId: string | null, remainingMs = 2000): void {
  const program = { id, sessionId: id, remainingMs: null, tokenBudget: null }
  const call = { id, program, previousTurnId, receivedAtMs: nowMs } as Call
  const route = { kind: RouteKind.streaming, priority: 0, targetLatencyMs: 200 } as Route
  const signal = new AbortController().signal
  const deadlineMs = nowMs + remainingMs
  admission.admit({ call, route, priority: 0, workspace: null, deadlineMs, signal, isRelayed: false })
    .then(() => started.push(id), (error: RefusedError) => refused.push(`${id}: ${error.message}`))
}

async function iterate (times: number, iterationMs: number): Promise<void> {
  for (let i = 0; i < times; i++) {
    nowMs += iterationMs
    await nextIteration()
  }
}

// Guards against turns that are refused by all entries, since each measures the delays of its own start.
test.each([
  ['in the first seconds, a turn starts, a new program is refused', new StartupPhase(), 0, ['turn']],
  ['3 s after the first call, both are refused', new StartupPhase(), 3100, []],
  ['in a process that has been running for long, both are refused', null, 0, []]
])('with an event loop that is far behind: %s', async (_, startup, sinceFirstCallMs, expected) => {
  const backlog = { currentDelayMs: 0, meanDelayMs: 0 }
  const admission = new Admission(backlog, () => 0.01, startup)
  admit(admission, 'first', 't')
  await iterate(2, 1)
  nowMs += sinceFirstCallMs
  backlog.meanDelayMs = 400
  admit(admission, 'turn', 't')
  admit(admission, 'new', null)
  await iterate(3, 1)
  expect(started).toEqual(['first', ...expected])
  expect(refused.length).toBe(2 - expected.length)
})

test('after a hundred starts the start of a process is over', async () => {
  const backlog = { currentDelayMs: 0, meanDelayMs: 0 }
  const admission = new Admission(backlog, () => Infinity, new StartupPhase())
  for (let i = 0; i < 100; i++) admit(admission, `turn ${i}`, 't')
  await iterate(105, 1)
  backlog.meanDelayMs = 400
  admit(admission, 'last', 't')
  await iterate(2, 1)
  expect(started.length).toBe(100)
  expect(refused).toEqual([expect.stringContaining('would wait for 2400 ms')])
})

test('a turn that has waited for half of its time in the first seconds is refused', async () => {
  const admission = new Admission({ currentDelayMs: 0, meanDelayMs: 0 }, () => Infinity, new StartupPhase())
  for (let i = 0; i < 30; i++) admit(admission, `turn ${i}`, 't', 400)
  await iterate(20, 50)
  expect(started.length).toBeLessThan(7)
  expect(refused.length).toBe(30 - started.length)
})

// Guards against one stall of the event loop that counts for each of the calls that wait.
test.each<[string, number[], number]>([
  ['one stall among quick starts', [2, 2, 500, 2, 2], 2],
  ['a stall that comes again', [2, 500, 2, 500, 2], 51],
  ['slow starts', [100, 100, 100, 100, 100], 36]
])('the expected interval between starts after %s', (_, intervalsMs, atMostMs) => {
  const pace = new StartPace()
  for (const intervalMs of intervalsMs) pace.record(intervalMs)
  expect(pace.intervalMs).toBeLessThanOrEqual(atMostMs)
  expect(pace.intervalMs).toBeGreaterThan(atMostMs * 0.5)
})
