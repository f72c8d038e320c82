import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { createCall } from '#standin/call'
import { ConfigurationWait } from '../src/configurationwait.js'
import { EntryHarness } from './harness.js'

// Load pattern: calls that come while an entry starts, before it has read its first configuration.

let wait: ConfigurationWait
let outcomes: string[]

beforeEach(() => {
  wait = new ConfigurationWait()
  outcomes = []
})

afterEach(() => { vi.useRealTimers() })

function hold (id: string, previousTurnId: string | null = null, callerTimeoutMs = 4000, signal?: AbortSignal): void {
  const call = createCall(id, { previousTurnId, callerTimeoutMs })
  wait.wait(call, signal ?? new AbortController().signal)
    .then(() => outcomes.push(id), error => outcomes.push(`${id}: ${error.refusal}, ${error.verdict}`))
}

test('the calls of running programs go on first', async () => {
  hold('first')
  hold('turn', 't')
  hold('new')
  hold('other turn', 't')
  expect(wait.count).toBe(4)
  wait.end()
  hold('late')
  await sleep(1)
  expect(outcomes).toEqual(['turn', 'other turn', 'first', 'new', 'late'])
  expect(wait.count).toBe(0)
})

// Guards against calls that wait until their callers have no time left for a retry.
test.each([
  ['of long patience is held for a second', 10_000, 990, 1010],
  ['of short patience is held for half of its time', 600, 290, 310]
])('a call %s, then it is refused as not run', async (_, callerTimeoutMs, beforeMs, afterMs) => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  hold('call', null, callerTimeoutMs)
  await vi.advanceTimersByTimeAsync(beforeMs)
  expect(outcomes).toEqual([])
  await vi.advanceTimersByTimeAsync(afterMs - beforeMs)
  expect(outcomes).toEqual(['call: no-configuration, not-run'])
  expect(wait.count).toBe(0)
})

test('a call whose caller disconnects is dropped', async () => {
  const controller = new AbortController()
  hold('call', null, 4000, controller.signal)
  controller.abort()
  await sleep(1)
  expect([outcomes, wait.count]).toEqual([['call: timed-out, not-run'], 0])
})

// Guards against calls that a stopping entry keeps until their callers have lost a second, or its grace period is over.
test('an entry that stops refuses the calls that it holds, and those that come', async () => {
  hold('held')
  wait.stop()
  hold('late')
  await sleep(1)
  expect(outcomes.sort()).toEqual(['held: stopping, not-run', 'late: stopping, not-run'])
  expect(wait.count).toBe(0)
})

// Guards against memory that is taken by any number of calls.
test('calls beyond the bound are refused at once', async () => {
  for (let i = 0; i < 1001; i++) hold(`call ${i}`)
  await sleep(1)
  expect(outcomes).toEqual(['call 1000: no-configuration, not-run'])
  wait.end()
})

// Guards against turns that are refused by every entry after all have lost power.
test('an entry serves a call that came before its first configuration', async () => {
  const harness = new EntryHarness([])
  await harness.listen()
  harness.configurationWait = new ConfigurationWait()
  const call = harness.call('/none')
  await vi.waitFor(() => expect(harness.configurationWait?.count).toBe(1))
  harness.applyConfiguration()
  expect((await call).status).toBe(404)
  await harness.close()
})
