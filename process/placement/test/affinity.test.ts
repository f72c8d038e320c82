import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { InstanceClient } from '#connection/upstream'
import { InstanceRegistry, recordFailure, recordHandledObject } from '#process/instances'
import type { Instance } from '#process/instances'
import { noopLog } from '#process/log'
import { Placement } from '#process/placement'
import type { PlacementRequest } from '#process/placement'
import { parseInstance } from '#platform'
import { createCall } from '#standin/call'
import { listObjects } from '#standin/store'

// Load pattern: calls about the same objects come again and again, through several entries, to few slots.

const ids = ['a', 'b', 'c', 'd']
const slots = 6
const signal = new AbortController().signal

let registry: InstanceRegistry
let placement: Placement

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] });
  [registry, placement] = createEntry()
})

afterEach(() => { vi.useRealTimers() })

function createEntry (): [InstanceRegistry, Placement] {
  const connect = ({ address }: { address: string }): InstanceClient => new InstanceClient(address, 4)
  const entryRegistry = new InstanceRegistry({ parseInstance, connect, onChange: () => {} }, noopLog)
  const objects = ids.map((name, i) => {
    const spec = { service: 's', address: `10.0.0.${i + 1}:80`, zone: 'z', slots, state: 'ready' }
    return { name, revision: 1, spec, status: null }
  })
  listObjects(entryRegistry, { objects, revision: 1 }, false)
  return [entryRegistry, new Placement(entryRegistry, 'z', noopLog)]
}

function createRequest (id: string, affinityKey: string | null): PlacementRequest {
  return {
    call: createCall(id),
    kind: 'r',
    service: 's',
    engine: null,
    priority: 1,
    targetLatencyMs: 500,
    workspace: null,
    affinityKey,
    excluded: new Set(),
    previousInstanceId: null,
    isContinuing: true,
    maxWaitMs: 1000,
    deadlineMs: performance.now() + 4000
  }
}

const instance = (id: string): Instance => registry.get(id)!

async function place (id: string, affinityKey: string | null, entry = placement): Promise<string> {
  const lease = await entry.acquire(createRequest(id, affinityKey), signal)
  lease.release()
  return lease.instance.description.id
}

test('calls about an object go to the instance that handled it last, also if another one is slightly better', async () => {
  for (const id of ids) {
    recordHandledObject(instance(id), `object-${id}`, performance.now())
    for (let i = 0; i < 5; i++) expect(await place(`${id}${i}`, `object-${id}`)).toBe(id)
  }
})

test.each([
  ['it is busier by more than the gain', () => { instance('a').running = 4 }],
  ['it is full', () => { for (const id of ids) instance(id).running = id === 'a' ? slots + 1 : slots }],
  ['it is suspected', () => { recordFailure(instance('a'), performance.now()) }],
  ['it is leaving', () => { instance('a').isLeaving = true }]
])('another instance gets calls about an object if %s', async (_, change) => {
  recordHandledObject(instance('a'), 'object', performance.now())
  change()
  expect(await place('x', 'object')).not.toBe('a')
})

test('an instance that handled an object long ago is not preferred for it', async () => {
  const others = new Set<string>()
  for (let i = 0; i < 40; i++) {
    recordHandledObject(instance('a'), `object-${i}`, performance.now())
    vi.advanceTimersByTime(120_000)
    others.add(await place(`x${i}`, `object-${i}`))
  }
  expect(others.size).toBeGreaterThan(1)
})

test('entries that know nothing of an object choose the same instance for it, and spread objects over all', async () => {
  const [, other] = createEntry()
  const chosen = new Set<string>()
  for (let i = 0; i < 40; i++) {
    const id = await place(`x${i}`, `object-${i}`)
    expect(await place(`y${i}`, `object-${i}`, other)).toBe(id)
    chosen.add(id)
  }
  expect(chosen.size).toBe(ids.length)
})

test('a hot object does not keep calls waiting: those that one instance can not take go to the others', async () => {
  recordHandledObject(instance('a'), 'hot', performance.now())
  for (let i = 0; i < ids.length * slots; i++) await placement.acquire(createRequest(`x${i}`, 'hot'), signal)
  for (const id of ids) expect(Math.abs(instance(id).running - slots)).toBeLessThanOrEqual(2)
})

test('calls without an object are placed as before', async () => {
  recordHandledObject(instance('a'), 'object', performance.now())
  const chosen = new Set<string>()
  for (let i = 0; i < 40; i++) chosen.add(await place(`x${i}`, null))
  expect(chosen.size).toBe(ids.length)
})
