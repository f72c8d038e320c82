import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { InstanceClient } from '#connection/upstream'
import { Refusal, Verdict } from '#request/call'
import { InstanceRegistry, estimateMeanOthers, estimateRunning, recordFailure, recordLoad } from '#process/instances'
import type { Instance } from '#process/instances'
import { noopLog } from '#process/log'
import { Placement, chooseInstance } from '#process/placement'
import type { InstanceLease, PlacementRequest } from '#process/placement'
import { RequestLimit } from '#process/requestlimit'
import { parseInstance } from '#platform'
import { createCall } from '#standin/call'
import { listObjects } from '#standin/store'

let registry: InstanceRegistry
let placement: Placement

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
  const connect = ({ address }: { address: string }): InstanceClient => new InstanceClient(address, 4)
  registry = new InstanceRegistry({ parseInstance, connect, onChange: () => {} }, noopLog)
  const objects = ['a', 'b'].map((name, i) => {
    const spec = { service: 's', address: `10.0.0.${i + 1}:80`, zone: `z${i}`, slots: 1, state: 'ready' }
    return { name, revision: 1, spec, status: null }
  })
  listObjects(registry, { objects, revision: 1 }, false)
  placement = new Placement(registry, 'z0', noopLog)
})

afterEach(() => { vi.useRealTimers() })

function createRequest (id: string, fields: Partial<PlacementRequest> = {}, remainingMs = 5000): PlacementRequest {
  const call = createCall(id, { program: { id, sessionId: id, remainingMs, tokenBudget: null } })
  return {
    call,
    kind: 'r',
    service: 's',
    engine: null,
    priority: 1,
    targetLatencyMs: 1000,
    workspace: null,
    affinityKey: null,
    excluded: new Set(),
    previousInstanceId: null,
    isContinuing: true,
    maxWaitMs: 2400,
    deadlineMs: performance.now() + 4000,
    ...fields
  }
}

const signal = new AbortController().signal

/// Acquires all leases: each of the two instances takes one call more than its single slot.
async function acquireAll (): Promise<InstanceLease[]> {
  const leases: InstanceLease[] = []
  for (let i = 0; i < 4; i++) leases.push(await placement.acquire(createRequest(`x${i}`), signal))
  return leases
}

const instance = (id: string): Instance => registry.get(id)!

test('queued calls are placed by priority, then by the earliest deadline of their program', async () => {
  const leases = await acquireAll()
  const order: string[] = []
  const enqueue = (id: string, fields: Partial<PlacementRequest>, remainingMs: number): void => {
    placement.acquire(createRequest(id, fields, remainingMs), signal).then(lease => {
      order.push(id)
      lease.release()
    }, () => { order.push(`refused ${id}`) })
  }
  enqueue('relaxed', {}, 3000)
  enqueue('pressed', {}, 1000)
  enqueue('urgent', { priority: 0 }, 3000)
  leases[0]!.release()
  await vi.advanceTimersByTimeAsync(50)
  expect(order).toEqual(['urgent', 'pressed', 'relaxed'])
})

test('a call that waits longer than maxWaitMs is refused with status 503 and verdict not-run', async () => {
  await acquireAll()
  const refused = placement.acquire(createRequest('x3'), signal).catch((error: unknown) => error)
  await vi.advanceTimersByTimeAsync(2500)
  expect(await refused).toMatchObject({ refusal: 'overloaded', verdict: 'not-run', status: 503 })
})

test.each([
  ['the first turn of a program', false, 'refused'],
  ['a turn of a running program', true, 'placed']
])('with 80 % of the slots in use, %s (isContinuing: %s) is %s', async (_, isContinuing, expected) => {
  for (const id of ['a', 'b']) {
    const { description } = instance(id)
    instance(id).description = { ...description, slots: 10 }
    instance(id).running = 8
  }
  let outcome = 'waits'
  placement.acquire(createRequest('x', { isContinuing, maxWaitMs: 25 }), signal).then(() => {
    outcome = 'placed'
  }, error => {
    expect(error).toMatchObject({ refusal: 'overloaded', verdict: 'not-run', status: 503 })
    outcome = 'refused'
  })
  await vi.advanceTimersByTimeAsync(60)
  expect(outcome).toBe(expected)
})

// Guards against engines that are filled with programs until all of them end late, on sites with many slots an engine.
test.each([
  ['by 0.6 of its latency target or more', 12, 'refused'],
  ['by less', 11, 'placed']
])('the first turn of a program that the running calls would delay %s is %s', async (_, running, expected) => {
  for (const id of ['a', 'b']) {
    instance(id).description = { ...instance(id).description, slots: 40 }
    instance(id).running = running
  }
  const outcome = placement.acquire(createRequest('x', { isContinuing: false, targetLatencyMs: 400, maxWaitMs: 25 }), signal)
    .then(() => 'placed', () => 'refused')
  await vi.advanceTimersByTimeAsync(60)
  expect(await outcome).toBe(expected)
})

test('a running program\'s turn is placed before an equally urgent new program', async () => {
  const leases = await acquireAll()
  const order: string[] = []
  for (const [id, isContinuing] of [['new', false], ['running', true]] as const) {
    placement.acquire(createRequest(id, { isContinuing }), signal).then(lease => {
      order.push(id)
      lease.release()
    }, () => {})
  }
  for (const lease of leases) lease.release()
  await vi.advanceTimersByTimeAsync(50)
  expect(order).toEqual(['running', 'new'])
})

test('a call is refused immediately if every instance is excluded', async () => {
  const excluded = new Set(['a', 'b'])
  await expect(placement.acquire(createRequest('x', { excluded }), signal)).rejects.toMatchObject({
    refusal: 'no-instance'
  })
})

test('a call aborted in the queue is removed from it and refused as not run', async () => {
  await acquireAll()
  const controller = new AbortController()
  const waiting = placement.acquire(createRequest('x3'), controller.signal).catch((error: unknown) => error)
  controller.abort()
  expect(await waiting).toMatchObject({ verdict: 'not-run' })
  expect(placement.queueLength).toBe(0)
})

test('an instance that failed is avoided only while it is suspected', async () => {
  recordFailure(instance('a'), performance.now())
  expect((await placement.acquire(createRequest('x'), signal)).instance).toBe(instance('b'))
  await vi.advanceTimersByTimeAsync(400)
  expect((await placement.acquire(createRequest('y'), signal)).instance).toBe(instance('a'))
})

/// Reports from two instances, the second one 400 ms later.
function recordLoads (): void {
  recordLoad(instance('a'), { running: 3, waiting: 1, slots: 4 }, 1000)
  recordLoad(instance('b'), { running: 1, waiting: 0, slots: 4 }, 1400)
}

test.each([
  ['is that of a new report', 'b', 1400, 1],
  // The mean is (0.5 * 4 + 1 * 1) / 1.5 = 2.
  ['is between an older report and the mean', 'a', 1400, 2 + 0.5 * (4 - 2)],
  ['nears 0 if there are no new reports', 'a', 10_000, 0]
])('the estimated load from other processes %s', (_, id, nowMs, expected) => {
  recordLoads()
  const meanOthers = estimateMeanOthers([instance('a'), instance('b')], nowMs)
  expect(estimateRunning(instance(id), meanOthers, nowMs)).toBeCloseTo(expected)
})

// Guards against engines that are overrun because each entry seldom hears of their load.
test('an instance of which nothing was heard for long counts as loaded as the others', () => {
  recordLoad(instance('a'), { running: 4, waiting: 0, slots: 4 }, 1000)
  recordLoad(instance('b'), { running: 4, waiting: 0, slots: 4 }, 5000)
  const meanOthers = estimateMeanOthers([instance('a'), instance('b')], 5000)
  expect(estimateRunning(instance('a'), meanOthers, 5000)).toBeCloseTo(4)
})

test.each<[string, (a: Instance, b: Instance) => void, Partial<PlacementRequest>, string]>([
  ['the instance in the same zone if all else is equal', () => {}, {}, 'a'],
  ['the less loaded instance', a => { a.running = 3 }, {}, 'b'],
  ['the instance that ran the previous turn', () => {}, { previousInstanceId: 'b' }, 'b']
])('chooses %s', (_, prepare, fields, expected) => {
  prepare(instance('a'), instance('b'))
  const base = createRequest('x', fields)
  const sized = { ...base, call: { ...base.call, usage: { promptTokens: 12_000, maxOutputTokens: 100 } } }
  expect(chooseInstance([instance('a'), instance('b')], sized, 'z0', ({ running }) => running)?.description.id).toBe(expected)
})

// Guards against an event loop kept busy by its own queue: each release evaluated every queued call at every instance.
test('however many calls of a kind are queued without capacity, a pass evaluates the instances for one of them', async () => {
  const leases = await acquireAll()
  for (let i = 0; i < 300; i++) placement.acquire(createRequest(`q${i}`), signal).catch(() => {})
  const readyInstances = vi.spyOn(registry, 'readyInstances')
  placement.processQueue()
  expect(readyInstances.mock.calls.length).toBe(1)
  for (const lease of leases) lease.release()
  await Promise.resolve()
  expect(placement.queueLength).toBe(296)
  expect(readyInstances.mock.calls.length).toBe(1 + 4 + 1)
})

test('a call that was aborted before it is queued is refused as not run', async () => {
  await acquireAll()
  await expect(placement.acquire(createRequest('x'), AbortSignal.abort())).rejects.toMatchObject({ verdict: 'not-run' })
  expect(placement.queueLength).toBe(0)
})

/// Gives both instances a share of requests per second, of which none is left at the moment.
function limitAll (sharePerS: number): void {
  for (const id of ['a', 'b']) {
    instance(id).limit = new RequestLimit(sharePerS, sharePerS, performance.now())
    instance(id).limit!.take(performance.now())
  }
}

test('an instance with a limit gets a call when its share allows it', async () => {
  limitAll(2)
  const lease = placement.acquire(createRequest('waits', { maxWaitMs: 1100 }), signal)
  await vi.advanceTimersByTimeAsync(1020)
  expect(['a', 'b']).toContain((await lease).instance.description.id)
})

test('calls that limits leave no room for are refused at once, with the time until there is some', async () => {
  limitAll(1)
  const refused = { refusal: Refusal.overloaded, verdict: Verdict.notRun, retryAfterMs: 500 }
  await expect(placement.acquire(createRequest('new', { maxWaitMs: 25 }), signal)).rejects.toMatchObject(refused)
  placement.acquire(createRequest('waits', { maxWaitMs: 600 }), signal).catch(() => {})
  await expect(placement.acquire(createRequest('second', { maxWaitMs: 600 }), signal))
    .rejects.toMatchObject({ ...refused, retryAfterMs: 1000 })
  expect(placement.queueLength).toBe(1)
})

// Guards against programs that start at an instance with a limit, which looks idle, and then crowd the others.
test.each([
  ['the first turn of a program goes to an instance without a limit, although it is busier', false, 'b'],
  ['a turn of a running program goes to the one with a limit, if its share allows it', true, 'a']
])('%s', async (_, isContinuing, expected) => {
  for (const id of ['a', 'b']) instance(id).description = { ...instance(id).description, slots: 40 }
  instance('a').limit = new RequestLimit(10, 10, performance.now() - 200)
  recordLoad(instance('a'), { running: 0, waiting: 0, slots: 40 }, performance.now())
  instance('b').running = 5
  const lease = await placement.acquire(createRequest('x', { isContinuing }), signal)
  expect(lease.instance.description.id).toBe(expected)
})

// Guards against a limit that holds for ever, since no response says that it has ended.
test('the first turn of a program goes to an instance with a limit of which nothing was heard for a second', async () => {
  instance('a').limit = new RequestLimit(10, 10, performance.now() - 200)
  recordLoad(instance('a'), { running: 0, waiting: 0, slots: 1 }, performance.now())
  expect((await placement.acquire(createRequest('x', { isContinuing: false }), signal)).instance).toBe(instance('b'))
  await vi.advanceTimersByTimeAsync(1100)
  expect((await placement.acquire(createRequest('y', { isContinuing: false }), signal)).instance).toBe(instance('a'))
})

test('if all instances have limits, the first turn of a program goes to one of them', async () => {
  for (const id of ['a', 'b']) instance(id).limit = new RequestLimit(10, 10, performance.now() - 200)
  await expect(placement.acquire(createRequest('x', { isContinuing: false }), signal)).resolves.toBeDefined()
})

/// Keeps calls waiting for 2 s while each of the 4 leases is released after 200 ms, so that 20 are granted a second.
async function keepQueueBusy (): Promise<void> {
  const acquire = (id: string): void => {
    placement.acquire(createRequest(id, { maxWaitMs: Infinity }), signal)
      .then(lease => setTimeout(() => lease.release(), 200), () => {})
  }
  for (let i = 0; i < 100; i++) {
    acquire(`busy ${i}`)
    if (i >= 20) await vi.advanceTimersByTimeAsync(50)
  }
}

// Guards against calls that wait in vain, and against callers that all come back at once.
test('a call that would wait longer than it may is refused at once, and told when there is capacity', async () => {
  await keepQueueBusy()
  const refused = await Promise.all(['a', 'b', 'c'].map(async id => {
    return await placement.acquire(createRequest(id, { maxWaitMs: 200 }), signal).catch((error: unknown) => error)
  })) as { retryAfterMs: number }[]
  for (const error of refused) {
    expect(error).toMatchObject({ refusal: Refusal.overloaded, verdict: Verdict.notRun })
    const { retryAfterMs } = error
    expect(retryAfterMs).toBeGreaterThan(400)
    expect(retryAfterMs).toBeLessThanOrEqual(1000)
  }
  expect(new Set(refused.map(({ retryAfterMs }) => retryAfterMs)).size).toBeGreaterThan(1)
  const waits = placement.acquire(createRequest('waits', { maxWaitMs: 3000 }), signal)
  await vi.advanceTimersByTimeAsync(2000)
  await expect(waits).resolves.toBeDefined()
})

// Guards against calls that go to a machine whose report says that work takes longer there at present.
test('of two equally loaded instances, the one that reports less time for its work gets the call, while the report is fresh', async () => {
  for (const id of ['a', 'b']) {
    const { description } = instance(id)
    instance(id).description = { ...description, slots: 10, zone: 'z0' }
    instance(id).running = 3
  }
  const choose = (): string => chooseInstance([instance('a'), instance('b')], createRequest('x'), 'z0', ({ running }) => running)!.description.id
  const usual = choose()
  instance(usual).speed.recordReport(300, performance.now())
  expect(choose()).not.toBe(usual)
  await vi.advanceTimersByTimeAsync(5000)
  expect(choose()).toBe(usual)
})

// Guards against slow instances that are filled with as many new programs as fast ones.
test.each([
  ['as usual', 100, 'placed'],
  ['twice as long', 200, 'refused']
])('with half of the slots in use, a new program at an instance where work takes %s is %s', async (_, percent, expected) => {
  for (const id of ['a', 'b']) {
    const { description } = instance(id)
    instance(id).description = { ...description, slots: 10 }
    instance(id).running = 5
    instance(id).speed.recordReport(percent, performance.now())
  }
  const outcome = placement.acquire(createRequest('x', { isContinuing: false, maxWaitMs: 0 }), signal)
    .then(() => 'placed', () => 'refused')
  await vi.advanceTimersByTimeAsync(30)
  expect(await outcome).toBe(expected)
})

// Guards against memory that grows with the names of services, which change with the configuration.
test('what is kept for services of earlier configurations is bounded', async () => {
  for (let i = 0; i < 3000; i++) {
    await placement.acquire(createRequest(`c${i}`, { service: `s${i}`, workspace: 'w' }), signal).catch(() => {})
    registry.onObject('a', { name: 'a', revision: i + 2, status: null, spec: { service: `s${i + 1}`, address: '10.0.0.1:80', zone: 'z0', slots: 1, state: 'ready' } })
  }
  expect(registry.serviceModels.size).toBeLessThanOrEqual(500)
  expect(placement.accountedServices).toBeLessThanOrEqual(500)
})
