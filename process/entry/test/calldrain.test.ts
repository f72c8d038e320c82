import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { RefusedError } from '#request/call'
import { CallDrain } from '#process/entry'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/// The users' rules allow a stop to cut calls that are still at work in the last sixth of the grace period.
const lastShare = 1 / 6
/// To close connections and settle the last calls.
const endMs = 350

// Guards against LOST: an entry with 4 s of grace cut calls at its end that another entry had relayed, whose caller had
// no reason to expect it.
test.each<[string, number, boolean, boolean]>([
  ['a call that ends in time', 3000, false, true],
  ['a relayed call that ends in time', 3000, true, true],
  ['a call that may not end in time, while callers may not know of the stop yet', 3800, false, true],
  ['a relayed call that may not end in time', 3800, true, false]
])('at the start of a stop, %s', (_, timeoutMs, isRelayed, mayStart) => {
  const drain = new CallDrain(4000)
  drain.start()
  const start = (): void => drain.assertMayStart(performance.now() + timeoutMs, isRelayed)
  if (mayStart) expect(start).not.toThrow()
  else expect(start).toThrow(RefusedError)
})

// Guards against LOST: with 4 s of grace, calls were cut 700 ms before its end, which is before its last sixth.
test.each([3000, 4000, 5000, 8000, 30_000])('a stop with %i ms of grace cuts calls in its last sixth', async graceMs => {
  const drain = new CallDrain(graceMs)
  let abortedAtMs = -1
  const startedAtMs = performance.now()
  drain.run(controller => new Promise(resolve => {
    controller.signal.addEventListener('abort', () => {
      abortedAtMs = performance.now() - startedAtMs
      resolve()
    })
  }))
  drain.start().then(() => drain.waitForEnd(() => 0))
  await vi.advanceTimersByTimeAsync(graceMs)
  expect(abortedAtMs).toBeGreaterThanOrEqual(graceMs * (1 - lastShare))
  expect(abortedAtMs).toBeLessThanOrEqual(graceMs - endMs)
})
