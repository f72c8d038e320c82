import { expect, test, vi } from 'vitest'
import { Refusal, RefusedError, Verdict } from '#request/call'
import type { RoutedCall } from '#request/forward'
import { createCall } from '#standin/call'
import { acquireCredit, settleFailed } from '../src/callcredit.js'

const quota = { ratePerS: 1, burst: 1 }
const admission = { hasStartedProgram: (id: string): boolean => id === 'begun' }

function acquire (call: object, route: object, workspaceQuota: typeof quota | null = quota): unknown {
  const acquireOne = vi.fn(() => new Promise<never>(() => {}))
  const routed = {
    call: { ...createCall('a1'), ...call },
    route: { kind: 'streaming', targetLatencyMs: 400, isPublic: false, ...route },
    workspace: { name: 'acme', keys: [], priority: null, quota: workspaceQuota },
    signal: new AbortController().signal
  }
  acquireCredit(routed as unknown as RoutedCall, { acquire: acquireOne }, admission)
  return (acquireOne.mock.calls as unknown[][])[0]?.[1]
}

const program = { sessionId: 's', remainingMs: 1, tokenBudget: null }

test.each([
  ['a tool', {}, { kind: 'idempotent' }, true, 400],
  ['a first turn', { program: { ...program, id: 'new' }, previousTurnId: null }, {}, false, 100],
  ['a turn with a previous one', { program: { ...program, id: 'new' }, previousTurnId: 't' }, {}, true, 400],
  ['a turn of a program seen here', { program: { ...program, id: 'begun' }, previousTurnId: null }, {}, true, 400]
])('%s: whether it continues a program, and how long it may wait for credit', (_, call, route, isContinuing, maxWaitMs) => {
  expect(acquire(call, route)).toMatchObject({ isContinuing, maxWaitMs })
})

// Guards against calls that wait for credit that they don't need.
test.each([
  ['on a public route', { isPublic: true }, quota],
  ['without a limit', {}, null]
])('a call %s asks for no credit', (_, route, workspaceQuota) => {
  expect(acquire({}, route, workspaceQuota)).toBe(undefined)
})

// Guards against quota that is lost with refused calls, and against calls that run without counting.
test.each([
  ['refused as not run', new RefusedError(Refusal.overloaded, Verdict.notRun, ''), 'giveBack'],
  ['refused as not run by its instance', new RefusedError(Refusal.upstreamFailed, Verdict.notRun, ''), 'giveBack'],
  ['that may have run', new RefusedError(Refusal.upstreamFailed, Verdict.mayHaveRun, ''), 'spend'],
  ['that failed with a bug', new Error('bug'), 'spend']
])('a call %s', (_, error, expected) => {
  const credit = { spend: vi.fn(), giveBack: vi.fn() }
  settleFailed(credit, error)
  expect([credit.giveBack.mock.calls.length, credit.spend.mock.calls.length]).toEqual(expected === 'giveBack' ? [1, 0] : [0, 1])
})
