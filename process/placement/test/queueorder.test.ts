import { expect, test } from 'vitest'
import type { Call } from '#request/call'
import type { PlacementRequest } from '../src/choice.js'
import { compareCalls } from '../src/queueorder.js'
import type { QueuedCall } from '../src/queueorder.js'

const nowMs = 10_000

interface Options {
  readonly priority?: number
  readonly isContinuing?: boolean
  /// Left of the program's time now: negative once it is over, null if it names none.
  readonly leftMs?: number | null
  readonly waitedMs?: number
  readonly callLeftMs?: number
}

function queued (options: Options): QueuedCall {
  const { priority = 1, isContinuing = true, leftMs = 1000, waitedMs = 0, callLeftMs = 2000 } = options
  const receivedAtMs = nowMs - waitedMs
  const program = { id: 'p', sessionId: 'p', remainingMs: leftMs === null ? null : leftMs + waitedMs, tokenBudget: null }
  const request = { call: { program, receivedAtMs } as Call, priority, isContinuing, deadlineMs: nowMs + callLeftMs }
  return { request: request as PlacementRequest, queuedAtMs: receivedAtMs }
}

// Guards against programs that are late anyway and make those late that could still end in time.
test.each<[string, Options, Options]>([
  ['a program in time goes before a late one', { leftMs: 900 }, { leftMs: -100 }],
  ['also if that one became late while it waited', { leftMs: 900 }, { leftMs: -1, waitedMs: 300 }],
  ['of programs in time the one with the earliest deadline goes first', { leftMs: 100 }, { leftMs: 900 }],
  ['a program that names no time counts as in time', { leftMs: null }, { leftMs: 0 }],
  ['its deadline is that of the call', { leftMs: null, callLeftMs: 500 }, { leftMs: 900 }],
  ['it has no precedence over programs that are due earlier', { leftMs: 900 }, { leftMs: null }],
  ['a more urgent program goes first although it is late', { priority: 0, leftMs: -100 }, { leftMs: 900 }],
  ['a late program that has waited for long goes first', { leftMs: -100, waitedMs: 500 }, { leftMs: 900 }],
  ['a new program in time goes before a late turn of the same rank', { priority: 0, isContinuing: false }, { leftMs: -100 }],
  ['a new program of the same rank that is due earlier goes before a turn', { priority: 0, isContinuing: false, leftMs: 100 }, { leftMs: 900 }],
  ['a turn that is due earlier goes before a new program of the same rank', { leftMs: 100 }, { priority: 0, isContinuing: false, leftMs: 900 }]
])('%s', (_, first, second) => {
  expect(compareCalls(queued(first), queued(second), nowMs)).toBeLessThan(0)
  expect(compareCalls(queued(second), queued(first), nowMs)).toBeGreaterThan(0)
})

/// Replays a service of one slot that each call takes for `serviceMs`. Returns how many programs end in time, and how
/// many are placed within their timeout.
function replay (compare: (a: QueuedCall, b: QueuedCall, nowMs: number) => number): { inTime: number, placed: number } {
  const serviceMs = 100
  const timeoutMs = 6000
  // Every other program is late when it comes; the load is half again as much as the slot takes.
  const arrivals = Array.from({ length: 60 }, (_, i) => {
    return { ...queued({ leftMs: i % 2 === 0 ? -50 : 800 }), arrivesAtMs: nowMs + i * serviceMs / 1.5 }
  }).map(({ request, arrivesAtMs }) => {
    return { request: { ...request, call: { ...request.call, receivedAtMs: arrivesAtMs } }, queuedAtMs: arrivesAtMs }
  })
  const counts = { inTime: 0, placed: 0 }
  for (let atMs = nowMs; arrivals.length > 0; atMs += serviceMs) {
    const waiting = arrivals.filter(call => call.queuedAtMs <= atMs).sort((a, b) => compare(a, b, atMs))
    if (waiting.length === 0) continue
    const { request: { call }, queuedAtMs } = arrivals.splice(arrivals.indexOf(waiting[0]!), 1)[0]!
    if (atMs + serviceMs <= call.receivedAtMs + call.program!.remainingMs!) counts.inTime++
    if (atMs - queuedAtMs <= timeoutMs) counts.placed++
  }
  return counts
}

test('under overload more programs end in time than by the earliest deadline alone, and the late ones are placed as well', () => {
  const dueMs = ({ request: { call } }: QueuedCall): number => call.receivedAtMs + call.program!.remainingMs!
  const byDeadline = replay((a, b) => dueMs(a) - dueMs(b))
  const byClass = replay(compareCalls)
  expect(byClass.inTime).toBeGreaterThan(byDeadline.inTime)
  expect(byClass.placed).toBe(60)
})
