import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { Fleet, createWorkspace, tolerance, workspaceName } from './fleet.js'
import type { CallOptions, CallOutcome, SimulatedEntry } from './fleet.js'
import { countTolerated } from '../src/tolerance.js'

const quota = { ratePerS: 40, burst: 40 }
const entryCount = 6
const stepMs = 25

let fleet: Fleet
/// By rank as coordinators of the workspace.
let ranked: SimulatedEntry[]

beforeEach(async () => {
  vi.useFakeTimers()
  fleet = new Fleet(entryCount, [createWorkspace(quota)])
  ranked = fleet.rank()
  await vi.advanceTimersByTimeAsync(2000)
})

afterEach(() => {
  fleet.stop()
  vi.useRealTimers()
})

interface Load {
  /// Of the rate of the quota.
  readonly share: number
  readonly options?: CallOptions
}

/// Sends calls at all running entries in turn. Returns what became of those of each load, except of those at an entry
/// that was killed meanwhile. `onStep` is called with the time.
async function loadAll (
  loads: readonly Load[], durationMs: number, onStep: (timeMs: number) => void = () => {}
): Promise<CallOutcome[][]> {
  const streams = loads.map(({ share, options = {} }) => {
    return { share, options, due: 0, calls: [] as Promise<CallOutcome>[] }
  })
  for (let timeMs = 0, next = 0; timeMs < durationMs; timeMs += stepMs) {
    onStep(timeMs)
    const running = fleet.entries.filter(({ isRunning }) => isRunning)
    for (const stream of streams) {
      for (stream.due += quota.ratePerS * stream.share * stepMs / 1000; stream.due >= 1; stream.due--) {
        stream.calls.push(fleet.call(running[next++ % running.length]!, stream.options))
      }
    }
    await vi.advanceTimersByTimeAsync(stepMs)
  }
  await vi.advanceTimersByTimeAsync(1500)
  return Promise.all(streams.map(async ({ calls }) => (await Promise.all(calls)).filter(({ isLost }) => !isLost)))
}

async function load (
  share: number, durationMs: number, options: CallOptions = {}, onStep?: (timeMs: number) => void
): Promise<CallOutcome[]> {
  return (await loadAll([{ share, options }], durationMs, onStep))[0]!
}

/// Sends a call and waits for what becomes of it.
async function settle (entry: SimulatedEntry): Promise<CallOutcome> {
  const outcome = fleet.call(entry)
  await vi.advanceTimersByTimeAsync(2000)
  return outcome
}

function readMetric ({ metrics }: SimulatedEntry, name: string): number {
  return Number(new RegExp(`chicorynotch_${name} (.*)`).exec(metrics.toText())?.[1] ?? 0)
}

function countRefused (outcomes: readonly CallOutcome[]): number {
  return outcomes.filter(({ status }) => status !== 0).length
}

function expectWithinRule (): void {
  expect(fleet.countExcess(quota)).toBeLessThanOrEqual(countTolerated(quota, tolerance))
}

// Guards against refusals of a workspace that keeps to its quota.
test('a workspace at 60 % of its quota is never refused', async () => {
  expect(countRefused(await load(0.6, 5000))).toBe(0)
})

// Guards against a quota that is not used up although more is asked for.
test('a workspace at six times its quota gets its quota, and its callers are told when to come back', async () => {
  const outcomes = await load(6, 5000)
  const servedPerS = (outcomes.length - countRefused(outcomes) - quota.burst) / 5
  expect(servedPerS / quota.ratePerS).toBeGreaterThan(0.9)
  const refused = outcomes.filter(({ status }) => status !== 0)
  expect(refused.every(({ status, retryAfterMs }) => status === 429 && retryAfterMs > 0)).toBe(true)
  expectWithinRule()
})

// Guards against lost work: programs that have begun and can't continue while new ones get credit.
test('in an overload, calls of programs that have begun are served before first turns', async () => {
  const loads = [{ share: 0.7, options: { isContinuing: true } }, { share: 3 }]
  const [continuing = [], starting = []] = await loadAll(loads, 5000)
  expect(countRefused(continuing) / continuing.length).toBeLessThan(0.05)
  expect(countRefused(starting) / starting.length).toBeGreaterThan(0.5)
})

test('a workspace at many times its quota takes nothing from others', async () => {
  const names = ['a', 'b', 'c']
  fleet.configure([createWorkspace(quota), ...names.map(name => createWorkspace(quota, name))])
  await vi.advanceTimersByTimeAsync(2000)
  const ordinary = names.map(workspace => ({ share: 0.6, options: { workspace } }))
  const [, ...others] = await loadAll([{ share: 8 }, ...ordinary], 3000)
  expect(others.map(countRefused)).toEqual([0, 0, 0])
})

test.each([
  ['the coordinator is killed', () => fleet.kill(ranked[0]!)],
  ['another entry is killed', () => fleet.kill(ranked[3]!)]
])('when %s, the others serve the quota again within a second', async (_, fail) => {
  await load(0.6, 1000)
  fail()
  await load(0.6, 1000)
  expect(countRefused(await load(0.6, 3000))).toBe(0)
  expectWithinRule()
})

// Guards against a bucket that is full after each start of its process, and after each change of the coordinator.
test.each([
  ['restarted at once', true],
  ['killed', false]
])('when the coordinator is %s after a burst, the next bucket is empty', async (_, isRestarted) => {
  await load(6, 3000, { isContinuing: true }, timeMs => {
    if (timeMs === 700) fleet.kill(ranked[0]!)
    if (isRestarted && timeMs === 700 + stepMs) fleet.start(ranked[0]!)
  })
  expectWithinRule()
})

// Guards against two buckets: of an entry that is about to act, and of the coordinator that returns at that moment.
test('an entry that is asked for the bucket while it checks its predecessors does not act for them', async () => {
  const [coordinator, deputy] = ranked as [SimulatedEntry, SimulatedEntry]
  fleet.kill(coordinator)
  const outcome = fleet.call(deputy)
  // The last check of the coordinator has been sent, and its time is not over.
  await vi.advanceTimersByTimeAsync(200)
  fleet.start(coordinator)
  fleet.call(coordinator)
  await vi.advanceTimersByTimeAsync(3000)
  await outcome
  expect([coordinator, deputy].map(entry => readMetric(entry, 'quota_coordinator_changes_total'))).toEqual([1, 0])
})

// Guards against credit that is granted again after a restart, and against a coordinator that never returns.
test('a restarted coordinator takes over again with the bucket of the one that acted for it', async () => {
  await load(1, 2000)
  fleet.kill(ranked[0]!)
  await load(3, 2000)
  fleet.start(ranked[0]!)
  await load(3, 2000)
  await load(0.6, 9000)
  expectWithinRule()
  expect(readMetric(ranked[0]!, 'quota_buckets')).toBe(1)
  expect(countRefused(await load(0.6, 2000))).toBe(0)
})

// Guards against an entry that grants credit, as it believes that it is the coordinator, while another one does, too.
test.each([
  ['the coordinator', 0],
  ['another entry', 4]
])('%s that is cut off spends its share of the tolerance, and then answers 503', async (_, rank) => {
  await load(1, 2000)
  const lone = ranked[rank]!
  lone.isCutOff = true
  const outcomes: CallOutcome[] = []
  const cutOffAtMs = performance.now()
  for (let timeMs = 0; timeMs < 6000; timeMs += stepMs) {
    fleet.call(lone).then(outcome => outcomes.push(outcome))
    await vi.advanceTimersByTimeAsync(stepMs)
  }
  const late = outcomes.filter(({ atMs }) => atMs > cutOffAtMs + 1000 && atMs <= cutOffAtMs + 1000 + tolerance.windowMs)
  const share = Math.floor(countTolerated(quota, tolerance) / entryCount)
  expect(late.length - countRefused(late)).toBe(share)
  expect(new Set(late.map(({ status }) => status))).toEqual(new Set(share > 0 ? [0, 503] : [503]))
  expectWithinRule()
  lone.isCutOff = false
  await load(0.6, 1000)
  expect(countRefused(await load(0.6, 3000))).toBe(0)
  expectWithinRule()
})

// Guards against two coordinators while not all entries know of an added one.
test('an added entry that comes first takes the bucket, also for entries that do not know it yet', async () => {
  let added = fleet.create()
  while (fleet.rank()[0] !== added) added = fleet.create()
  const early = fleet.entries.slice(0, entryCount)
  await load(3, 2000)
  fleet.list([added])
  await load(3, 3000)
  fleet.list()
  await load(3, 3000)
  expectWithinRule()
  expect(early).not.toContain(added)
  expect(readMetric(added, 'quota_coordinator_changes_total')).toBe(1)
})

// Guards against credit of the higher limit that is still spent.
test('a lowered limit is in force at once', async () => {
  await load(1, 2000)
  const lower = { ratePerS: 4, burst: 4 }
  fleet.configure([createWorkspace(lower)])
  const loweredAtMs = performance.now()
  await load(1, 4000)
  expect(fleet.countExcess(lower, workspaceName, loweredAtMs)).toBeLessThanOrEqual(countTolerated(lower, tolerance))
})

test('a workspace that is removed is forgotten, and one that the coordinator lacks is answered with 503', async () => {
  await load(0.6, 500)
  ranked[0]!.quotas.setWorkspaces(null)
  expect(await settle(ranked[1]!)).toMatchObject({ status: 503 })
  fleet.configure([])
  await vi.advanceTimersByTimeAsync(2000)
  expect(fleet.entries.map(entry => readMetric(entry, 'quota_buckets'))).toEqual(Array(entryCount).fill(0))
})

// Guards against quota that is lost with calls that were refused later.
test('credit of calls that did not run is spent by the next ones', async () => {
  const loads = [{ share: 0.9, options: { isRefusedLater: true } }, { share: 0.8 }]
  const [refusedLater = [], ran = []] = await loadAll(loads, 4000)
  expect([countRefused(refusedLater), countRefused(ran)].map(count => count < 8)).toEqual([true, true])
})

// Guards against a retry that is deducted once more than its request.
test('a request whose first reply is lost is deducted once', async () => {
  const client = ranked[2]!
  await settle(client)
  fleet.configure([createWorkspace({ ratePerS: 1, burst: 40 })])
  const levels: unknown[] = []
  const receive = client.quotas.receive.bind(client.quotas)
  vi.spyOn(client.quotas, 'receive').mockImplementation((fields, address) => {
    if (fields.kind !== 'reply' || fields.status === 'pending') return receive(fields, address)
    levels.push(fields.level)
    if (levels.length > 1) receive(fields, address)
  })
  expect(await settle(client)).toMatchObject({ status: 0 })
  expect(levels).toEqual([levels[0], levels[0]])
})

// Guards against grants of two coordinators, of which each counts only its own.
test('what another entry has granted in place of the coordinator is deducted, once for each report', async () => {
  const [coordinator, deputy] = ranked as [SimulatedEntry, SimulatedEntry]
  await settle(deputy)
  fleet.configure([createWorkspace({ ratePerS: 0.01, burst: 40 })])
  const levels: unknown[] = []
  const receive = deputy.quotas.receive.bind(deputy.quotas)
  vi.spyOn(deputy.quotas, 'receive').mockImplementation((fields, address) => {
    if (fields.kind === 'reply' && fields.status === 'granted') levels.push(Math.round(Number(fields.level)))
    receive(fields, address)
  })
  await settle(deputy)
  for (const granted of [3, 3, 8]) {
    const check = { version: 1, kind: 'check', sender: deputy.member.name, number: 1, workspace: workspaceName }
    coordinator.quotas.receive({ ...check, bucket: 'other', granted }, deputy.member.address)
    await settle(deputy)
  }
  expect(levels).toEqual([39, 35, 34, 28])
})

// Guards against calls that are refused as one link fails, although the coordinator is up.
test('an entry that does not reach the coordinator is served through another one', async () => {
  const [coordinator, , client] = ranked as [SimulatedEntry, SimulatedEntry, SimulatedEntry]
  for (const [entry, other] of [[coordinator, client], [client, coordinator]] as const) {
    const receive = entry.quotas.receive.bind(entry.quotas)
    vi.spyOn(entry.quotas, 'receive').mockImplementation((fields, address) => {
      if (address !== other.member.address) receive(fields, address)
    })
  }
  expect(await settle(client)).toMatchObject({ status: 0 })
  expect(readMetric(coordinator, 'quota_coordinator_changes_total')).toBe(1)
  expectWithinRule()
})

// Guards against work that grows with the configured workspaces rather than with those in use.
test('of 6,100 workspaces only those in use have a bucket, and they are forgotten later', async () => {
  const names = Array.from({ length: 6100 }, (_, i) => `workspace-${i}`)
  fleet.configure(names.map(name => createWorkspace(quota, name)))
  await vi.advanceTimersByTimeAsync(2000)
  for (const workspace of names.slice(0, 30)) fleet.call(ranked[0]!, { workspace })
  const countBuckets = (): number => {
    return fleet.entries.reduce((sum, entry) => sum + readMetric(entry, 'quota_buckets'), 0)
  }
  await vi.advanceTimersByTimeAsync(1000)
  expect(countBuckets()).toBe(30)
  await vi.advanceTimersByTimeAsync(20_000)
  for (const entry of fleet.entries) fleet.call(entry, { workspace: names[40]! })
  await vi.advanceTimersByTimeAsync(100)
  expect(countBuckets()).toBeLessThan(30)
})
