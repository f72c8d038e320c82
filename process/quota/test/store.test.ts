import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { Fleet, createWorkspace, tolerance, workspaceName } from './fleet.js'
import type { CallOutcome, SimulatedEntry } from './fleet.js'
import { countTolerated } from '../src/tolerance.js'

// Guards against quotas that depend on the store: calls refused, or credit granted twice, while it gives nothing new,
// is late, or gives again what is known.

const quota = { ratePerS: 40, burst: 40 }
const entryCount = 6
const stepMs = 25

let fleet: Fleet

beforeEach(async () => {
  vi.useFakeTimers()
  fleet = new Fleet(entryCount, [createWorkspace(quota)])
  await vi.advanceTimersByTimeAsync(2000)
})

afterEach(() => {
  fleet.stop()
  vi.useRealTimers()
})

/// Sends calls at a share of the rate, at the running entries in turn, half of them of programs that have begun.
async function load (
  share: number, durationMs: number, onStep = (_timeMs: number): void => {}
): Promise<CallOutcome[]> {
  const calls: Promise<CallOutcome>[] = []
  let due = 0
  for (let timeMs = 0; timeMs < durationMs; timeMs += stepMs) {
    onStep(timeMs)
    const running = fleet.entries.filter(({ isRunning }) => isRunning)
    for (due += quota.ratePerS * share * stepMs / 1000; due >= 1; due--) {
      calls.push(fleet.call(running[calls.length % running.length]!, { isContinuing: calls.length % 2 === 0 }))
    }
    await vi.advanceTimersByTimeAsync(stepMs)
  }
  await vi.advanceTimersByTimeAsync(1500)
  return (await Promise.all(calls)).filter(({ isLost }) => !isLost)
}

const countServed = (outcomes: readonly CallOutcome[]): number => outcomes.filter(({ status }) => status === 0).length

function expectWithinRule (limit = quota, sinceMs = -Infinity): void {
  expect(fleet.countExcess(limit, workspaceName, sinceMs)).toBeLessThanOrEqual(countTolerated(limit, tolerance))
}

const countChanges = (entry: SimulatedEntry): number =>
  Number(/quota_coordinator_changes_total (.*)/.exec(entry.metrics.toText())?.[1] ?? 0)

/// The list of entries that the store gave last comes once more, as another array and in another order.
function repeatList (entries = fleet.entries): void {
  for (const entry of entries) entry.others = entry.others === null ? null : [...entry.others].reverse()
}

test('while the store gives nothing new for a minute, usual load is served and the bound holds', async () => {
  const usual = await load(0.6, 60_000)
  expect(countServed(usual)).toBe(usual.length)
  const outcomes = await load(4, 10_000)
  expect(countServed(outcomes)).toBeGreaterThan(0.9 * 10 * quota.ratePerS)
  expectWithinRule()
})

// The list still has the killed entry.
test.each([0, 3])('the store is away when the entry of rank %i is killed: the others go on with the last list', async rank => {
  await load(0.6, 1000)
  fleet.kill(fleet.rank()[rank]!)
  await load(4, 3000)
  await load(0.6, 3000)
  const usual = await load(0.6, 20_000)
  expect(countServed(usual)).toBe(usual.length)
  expectWithinRule()
})

test('an entry that starts while the store is away refuses with 503, and takes no credit from the others', async () => {
  await load(0.6, 1000)
  const started = fleet.create()
  const outcomes = await load(0.6, 5000)
  const own = outcomes.filter(({ entry }) => entry === started.member.name)
  const others = outcomes.filter(outcome => !own.includes(outcome))
  expect(countServed(others)).toBe(others.length)
  expect(new Set(own.map(({ status }) => status))).toEqual(new Set([503]))
  fleet.list()
  await load(0.6, 1000)
  const usual = await load(0.6, 3000)
  expect(countServed(usual)).toBe(usual.length)
  expectWithinRule()
})

// As after a history that the store has dropped.
test.each([0.6, 4])('a list that comes again and again changes nothing, at %f times the rate', async share => {
  await load(share, 2000)
  const before = fleet.entries.map(countChanges)
  const plain = countServed(await load(share, 4000))
  const repeated = countServed(await load(share, 4000, () => repeatList()))
  expect(Math.abs(repeated - plain)).toBeLessThanOrEqual(2)
  expect(fleet.entries.map(countChanges)).toEqual(before)
  expectWithinRule()
})

test('a configuration that comes again and again changes nothing', async () => {
  const usual = await load(0.6, 4000, () => fleet.configure([createWorkspace({ ...quota })]))
  expect(countServed(usual)).toBe(usual.length)
  await load(4, 4000, () => fleet.configure([createWorkspace({ ...quota })]))
  expectWithinRule()
})

test.each([0.6, 4])('an added entry is listed late at some entries, at %f times the rate', async share => {
  await load(share, 2000)
  const added = fleet.create()
  await load(share, 2000, timeMs => {
    if (timeMs === 500) fleet.list([added])
    const known = fleet.entries[Math.floor(timeMs / 300) - 2]
    if (timeMs % 300 === 0 && known !== undefined) fleet.list([known])
  })
  fleet.list()
  const outcomes = await load(share, 4000)
  if (share < 1) expect(countServed(outcomes)).toBe(outcomes.length)
  expectWithinRule()
})

// Guards against an old list in force again: entries would disagree on the coordinator.
test.each([0.6, 4])('the list goes back and forth between an older and the newest one, at %f times the rate', async share => {
  await load(share, 2000)
  const newest = fleet.entries.map(({ others }) => others!)
  const first = fleet.rank()[0]!.member.name
  await load(share, 3000, timeMs => {
    if (timeMs % 500 !== 0) return
    fleet.entries.forEach((entry, i) => {
      entry.others = timeMs % 1000 === 0 && i % 2 === 0 ? newest[i]!.filter(({ name }) => name !== first) : newest[i]!
    })
  })
  fleet.list()
  await load(share, 500)
  const outcomes = await load(share, 4000)
  if (share < 1) expect(countServed(outcomes)).toBe(outcomes.length)
  expectWithinRule()
})

// Guards against a bucket that is forgotten with its workspace: the burst could be used once more.
test('a workspace that is removed and added again gets no second burst', async () => {
  const limit = { ratePerS: 10, burst: 60 }
  fleet.configure([createWorkspace(limit)])
  await vi.advanceTimersByTimeAsync(10_000)
  const useUp = async (): Promise<void> => {
    for (let i = 0; i < 80; i++) fleet.call(fleet.entries[0]!, { isContinuing: true })
    await vi.advanceTimersByTimeAsync(500)
  }
  await useUp()
  expect(fleet.outcomes.length).toBeGreaterThanOrEqual(limit.burst)
  fleet.configure([])
  await vi.advanceTimersByTimeAsync(100)
  fleet.configure([createWorkspace(limit)])
  await useUp()
  expectWithinRule(limit)
})

// Guards against credit of the higher limit that calls give back after the limit was lowered.
test('calls that give back credit of a higher limit do not raise a lowered one', async () => {
  const client = fleet.rank()[2]!
  const options = { isContinuing: true, maxWaitMs: 100, signal: new AbortController().signal }
  const acquiring = Array.from({ length: 30 }, () => client.quotas.acquire(createWorkspace(quota), options))
  await vi.advanceTimersByTimeAsync(200)
  const credits = await Promise.all(acquiring)
  fleet.call(client, { isContinuing: true })
  const lower = { ratePerS: 1, burst: 1 }
  fleet.configure([createWorkspace(lower)])
  const loweredAtMs = performance.now()
  for (const credit of credits) credit.giveBack()
  for (let i = 0; i < 30; i++) fleet.call(client, { isContinuing: true })
  await vi.advanceTimersByTimeAsync(1900)
  expectWithinRule(lower, loweredAtMs)
})

// Guards against calls that wait for ever and a process that timers keep alive.
test('after a stop no call waits and no timer is left', async () => {
  fleet.configure([createWorkspace({ ratePerS: 10, burst: 1 })])
  const [entry] = fleet.entries
  const options = { isContinuing: true, maxWaitMs: 10_000, signal: new AbortController().signal }
  const workspace = createWorkspace({ ratePerS: 10, burst: 1 })
  const first = await Promise.all([entry!.quotas.acquire(workspace, options), vi.advanceTimersByTimeAsync(50)])
  const ended = Promise.allSettled([1, 2, 3].map(() => entry!.quotas.acquire(workspace, options)))
  await vi.advanceTimersByTimeAsync(20)
  fleet.stop()
  const isSettled = await Promise.race([ended.then(() => true), vi.advanceTimersByTimeAsync(2000).then(() => false)])
  first[0].giveBack()
  expect([isSettled, vi.getTimerCount()]).toEqual([true, 0])
})
