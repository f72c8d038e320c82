import { setImmediate as nextIteration } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { Call } from '#request/call'
import { RouteKind } from '#version/configuration'
import type { Route } from '#version/configuration'
import { Admission } from '#process/admission'
import { Standing } from '#process/fairness'
import { Shedding } from '../src/shedding.js'

// Load pattern: one workspace asks for the start of many calls at once, next to others with a few.

let nowMs = 0

beforeEach(() => {
  nowMs = 0
  vi.spyOn(performance, 'now').mockImplementation(() => nowMs)
})

afterEach(() => { vi.restoreAllMocks() })

/// Runs iterations of the event loop that take `iterationMs` each.
async function iterate (times: number, iterationMs: number): Promise<void> {
  for (let i = 0; i < times; i++) {
    nowMs += iterationMs
    await nextIteration()
  }
}

function admit (admission: Admission, id: string, workspace: string | null, started: string[]): void {
  const program = { id, sessionId: id, remainingMs: null, tokenBudget: null }
  const call = { id, program, previousTurnId: 't', receivedAtMs: performance.now() } as Call
  const route = { kind: RouteKind.streaming, priority: 0, targetLatencyMs: 2000 } as Route
  admission.admit({
    call,
    route,
    priority: 0,
    workspace,
    deadlineMs: performance.now() + 20_000,
    signal: new AbortController().signal,
    isRelayed: false
  }).then(() => started.push(id), () => {})
}

test.each([
  ['before those of a workspace that sends many', 'few', 'many', true],
  ['in the order of arrival without workspaces', null, null, false]
])('the calls of a workspace that sends a few start %s', async (_, few, many, areFirst) => {
  const admission = new Admission({ currentDelayMs: 0, meanDelayMs: 0 })
  const started: string[] = []
  for (let i = 0; i < 50; i++) {
    for (const workspace of [few, many]) admit(admission, `usual ${workspace} ${i}`, workspace, started)
    await iterate(3, 40)
  }
  started.length = 0
  for (let i = 0; i < 60; i++) admit(admission, `many ${i}`, many, started)
  for (let i = 0; i < 3; i++) admit(admission, `few ${i}`, few, started)
  await iterate(70, 1)
  expect(started.length).toBe(63)
  const places = ['few 0', 'few 1', 'few 2'].map(id => started.indexOf(id))
  if (areFirst) expect(Math.max(...places)).toBeLessThan(30)
  else expect(places).toEqual([60, 61, 62])
})

test.each([0.1, 0.35, 0.6, 0.95])('with a shed share of %f, programs of workspaces above their share are shed first', shedShare => {
  const shedding = new Shedding()
  shedding.shedShare = shedShare
  const ids = Array.from({ length: 1000 }, (_, i) => `p${i}`)
  const countShed = (standing: Standing): number => ids.filter(id => shedding.isShed(id, 1, standing)).length
  const within = countShed(Standing.within)
  const equal = countShed(Standing.equal)
  const above = countShed(Standing.above)
  expect(above).toBeGreaterThanOrEqual(equal)
  expect(equal).toBeGreaterThanOrEqual(within)
  if (shedShare < 0.375) expect(within).toBe(0)
  // Of those above their share, about a quarter as many are served as of the others, or more.
  expect(1000 - above).toBeGreaterThanOrEqual((1000 - within) / 4 * 0.8)
})
