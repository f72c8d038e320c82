import { expect, test } from 'vitest'
import type { Call } from '#request/call'
import type { PlacementRequest } from '../src/choice.js'
import { FairQueue } from '../src/fairqueue.js'
import type { QueuedCall } from '../src/queueorder.js'

const nowMs = 20_000

interface Options { readonly priority?: number, readonly remainingMs?: number }

function queued (id: string, workspace: string | null, { priority = 1, remainingMs = 1000 }: Options = {}): QueuedCall {
  const program = { id, sessionId: id, remainingMs, tokenBudget: null }
  const call = { id, program, receivedAtMs: nowMs } as Call
  const request = { call, service: 's', workspace, priority, isContinuing: true, deadlineMs: nowMs + 2000 }
  return { request: request as PlacementRequest, queuedAtMs: nowMs }
}

/// A queue in which both workspaces have asked for and received the same until now.
function createFairQueue (few: string | null, many: string | null): FairQueue {
  const fairQueue = new FairQueue()
  for (let atMs = 0; atMs < nowMs; atMs += 200) {
    for (const workspace of [few, many]) {
      fairQueue.recordDemand(queued('', workspace).request, atMs)
      fairQueue.recordService(queued('', workspace).request, atMs)
    }
  }
  return fairQueue
}

const getIds = (calls: readonly QueuedCall[]): string[] => calls.map(({ request }) => request.call.id)
const flood = (workspace: string | null, count = 100): QueuedCall[] => {
  return Array.from({ length: count }, (_, i) => queued(`many ${i}`, workspace, { remainingMs: 500 + i }))
}

// Guards against a workspace whose many calls, due earlier, keep those of the others waiting.
test.each<[string, string | null, string | null, Options, (place: number) => boolean]>([
  ['goes before most calls of one that sends many', 'few', 'many', {}, place => place < 30],
  ['goes behind them without workspaces, as it is due later', null, null, {}, place => place === 100],
  ['goes behind more urgent ones in any case', 'few', 'many', { priority: 2 }, place => place === 100]
])('the call of a workspace that sends a few %s', (_, few, many, options, isExpected) => {
  const fairQueue = createFairQueue(few, many)
  const calls = [...flood(many), queued('few', few, options)]
  for (const { request } of calls) fairQueue.recordDemand(request, nowMs)
  const place = getIds(fairQueue.order(calls, nowMs)).indexOf('few')
  expect(isExpected(place)).toBe(true)
  expect(fairQueue.countAhead(calls.slice(0, -1), calls[calls.length - 1]!, nowMs)).toBe(place)
})

test('within their fair shares, calls of all workspaces are ordered by the earliest deadline', () => {
  const fairQueue = createFairQueue('a', 'b')
  const due = [['third', 'a', 900], ['first', 'a', 100], ['second', 'b', 400]] as const
  const calls = due.map(([id, workspace, remainingMs]) => queued(id, workspace, { remainingMs }))
  expect(getIds(fairQueue.order(calls, nowMs))).toEqual(['first', 'second', 'third'])
})

// Guards against a workspace that fills the bounded queue, so that calls of the others are refused.
test.each<[string, string | null, string | null, string | null, string | null]>([
  ['a call of another workspace takes the place of its last one', 'few', 'many', 'few', 'many 99'],
  ['its own calls are refused', 'few', 'many', 'many', null],
  ['without workspaces an arriving call is refused', null, null, null, null]
])('when a workspace fills the queue, %s', (_, few, many, arriving, evicted) => {
  const fairQueue = createFairQueue(few, many)
  const waiting = [...flood(many), queued('few', few)]
  const found = fairQueue.findEvicted(waiting, queued('new', arriving).request, nowMs)
  expect(found?.request.call.id ?? null).toBe(evicted)
})

// Guards against an arriving call that overtakes, or waits behind, others than it would in the queue.
test.each([['with workspaces', ['a', 'b', 'c']], ['without', [null, null, null]]])('%s, the calls counted ahead of an arriving one are those placed before it', (_, workspaces) => {
  const fairQueue = createFairQueue(workspaces[0]!, workspaces[1]!)
  const calls = Array.from({ length: 60 }, (_, i) => {
    const options = { priority: i % 3, remainingMs: i * 37 % 50 * 10 - 100 }
    return { ...queued(`${i}`, workspaces[i * i % 3]!, options), queuedAtMs: nowMs - i * 101 % 900 }
  })
  for (const [i, arriving] of calls.entries()) {
    fairQueue.recordService(calls[i]!.request, nowMs)
    const others = calls.filter(call => call !== arriving)
    const place = fairQueue.order([...others, arriving], nowMs).indexOf(arriving)
    expect(fairQueue.countAhead(others, arriving, nowMs)).toBe(place)
  }
})
