import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { InstanceClient } from '#connection/upstream'
import { InstanceRegistry, estimateRunning, recordFailure, recordLoad } from '#process/instances'
import type { Instance } from '#process/instances'
import { noopLog } from '#process/log'
import { Placement, chooseInstance } from '#process/placement'
import type { InstanceLease, PlacementRequest } from '#process/placement'
import { parseInstance } from '#platform'
import { createCall } from '#standin/call'

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
  registry.onListing({ objects, revision: 1 }, false)
  placement = new Placement(registry, 'z0', noopLog)
})

afterEach(() => { vi.useRealTimers() })

function need (id: string, fields: Partial<PlacementRequest> = {}, remainingMs = 5000): PlacementRequest {
  const call = createCall(id, { program: { id, sessionId: id, remainingMs, tokenBudget: null } })
  return {
    call,
    service: 's',
    engine: null,
    priority: 1,
    excluded: new Set(),
    previousInstanceId: null,
    isContinuing: true,
    maxWaitMs: 2400,
    deadlineMs: performance.now() + 4000,
    ...fields
  }
}

const signal = new AbortController().signal

/// Takes all places: one beyond its slot at each instance.
async function fill (): Promise<InstanceLease[]> {
  const places: InstanceLease[] = []
  for (let i = 0; i < 4; i++) places.push(await placement.acquire(need(`x${i}`), signal))
  return places
}

const instance = (id: string): Instance => registry.get(id)!

test('full instances are waited for: urgent first, then the program that ends first', async () => {
  const held = await fill()
  const order: string[] = []
  const wait = (id: string, fields: Partial<PlacementRequest>, remainingMs: number): void => {
    placement.acquire(need(id, fields, remainingMs), signal).then(place => {
      order.push(id)
      place.release()
    }, () => { order.push(`refused ${id}`) })
  }
  wait('relaxed', {}, 3000)
  wait('pressed', {}, 1000)
  wait('urgent', { priority: 0 }, 3000)
  held[0]!.release()
  await vi.advanceTimersByTimeAsync(50)
  expect(order).toEqual(['urgent', 'pressed', 'relaxed'])
})

test('a call that has waited too long is refused as not run, with a time to come back', async () => {
  await fill()
  const refused = placement.acquire(need('x3'), signal).catch((error: unknown) => error)
  await vi.advanceTimersByTimeAsync(2500)
  expect(await refused).toMatchObject({ refusal: 'overloaded', verdict: 'not-run', status: 503 })
})

test.each([
  ['the first turn of a program', false, 'refused'],
  ['a turn of a program that runs', true, 'placed']
])('%s at engines that are over half full: %s', async (_, isContinuing, expected) => {
  for (const id of ['a', 'b']) {
    const { description } = instance(id)
    instance(id).description = { ...description, slots: 10 }
    instance(id).running = 6
  }
  let outcome = 'waits'
  placement.acquire(need('x', { isContinuing, maxWaitMs: 25 }), signal).then(() => { outcome = 'placed' }, error => {
    expect(error).toMatchObject({ refusal: 'overloaded', verdict: 'not-run', status: 503 })
    outcome = 'refused'
  })
  await vi.advanceTimersByTimeAsync(60)
  expect(outcome).toBe(expected)
})

test('a running program\'s turn is placed before an equally urgent new program', async () => {
  const held = await fill()
  const order: string[] = []
  for (const [id, isContinuing] of [['new', false], ['running', true]] as const) {
    placement.acquire(need(id, { isContinuing }), signal).then(place => {
      order.push(id)
      place.release()
    }, () => {})
  }
  for (const place of held) place.release()
  await vi.advanceTimersByTimeAsync(50)
  expect(order).toEqual(['running', 'new'])
})

test('without an instance a call is refused at once', async () => {
  const excluded = new Set(['a', 'b'])
  await expect(placement.acquire(need('x', { excluded }), signal)).rejects.toMatchObject({ refusal: 'no-instance' })
})

test('a caller that leaves waits no longer', async () => {
  await fill()
  const stop = new AbortController()
  const waiting = placement.acquire(need('x3'), stop.signal).catch((error: unknown) => error)
  stop.abort()
  expect(await waiting).toMatchObject({ verdict: 'not-run' })
  expect(placement.queueLength).toBe(0)
})

test('an instance that failed is avoided for a while, not for ever', async () => {
  recordFailure(instance('a'), performance.now())
  expect((await placement.acquire(need('x'), signal)).instance).toBe(instance('b'))
  await vi.advanceTimersByTimeAsync(400)
  expect((await placement.acquire(need('y'), signal)).instance).toBe(instance('a'))
})

test('what others have there fades with its age', () => {
  recordLoad(instance('a'), { running: 3, waiting: 1, slots: 4 }, 1000)
  expect(estimateRunning(instance('a'), 1000)).toBe(4)
  expect(estimateRunning(instance('a'), 1400)).toBe(2)
})

test.each<[string, (a: Instance, b: Instance) => void, Partial<PlacementRequest>, string]>([
  ['the own zone, all else equal', () => {}, {}, 'a'],
  ['the less loaded one', a => { a.running = 3 }, {}, 'b'],
  ['the one that ran the turn before', () => {}, { previousInstanceId: 'b' }, 'b']
])('chooses %s', (_, prepare, fields, expected) => {
  prepare(instance('a'), instance('b'))
  const base = need('x', fields)
  const sized = { ...base, call: { ...base.call, usage: { promptTokens: 12_000, maxOutputTokens: 100 } } }
  expect(chooseInstance([instance('a'), instance('b')], sized, 'z0', 0)?.description.id).toBe(expected)
})
