import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { InstanceClient } from '#connection/upstream'
import { InstanceRegistry } from '#process/instances'
import { noopLog } from '#process/log'
import { Placement } from '#process/placement'
import type { InstanceLease } from '#process/placement'
import { parseInstance } from '#platform'
import { createCall } from '#standin/call'
import { listObjects } from '#standin/store'

// Long prompts beside short ones, at two engines that process 299 tokens a millisecond.

let placement: Placement

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
  const connect = (): InstanceClient => ({ close: () => {} }) as unknown as InstanceClient
  const registry = new InstanceRegistry({ parseInstance, connect, onChange: () => {} }, noopLog)
  const objects = ['a', 'b'].map((name, i) => {
    const spec = { service: 's', address: `10.0.0.${i + 1}:80`, zone: 'z', slots: 24, state: 'ready' }
    return { name, revision: 1, spec, status: null }
  })
  listObjects(registry, { objects, revision: 1 }, false)
  placement = new Placement(registry, 'z', noopLog)
})

afterEach(() => { vi.useRealTimers() })

function acquire (id: string, tokens: number, partId = id): Promise<InstanceLease> {
  return placement.acquire({
    call: createCall(id, { prefix: [{ id: partId, tokens }] }),
    kind: 'r',
    service: 's',
    workspace: null,
    engine: { slots: 24, kvCapacityTokens: 0, tokensPerEvent: 1 },
    priority: 0,
    excluded: new Set(),
    previousInstanceId: null,
    isContinuing: true,
    targetLatencyMs: 200,
    affinityKey: null,
    maxWaitMs: 1000,
    deadlineMs: performance.now() + 4000
  }, new AbortController().signal)
}

const idOf = ({ instance }: InstanceLease): string => instance.description.id

test('a second prompt, long or short, avoids the instance that processes a long one', async () => {
  const long = await acquire('x', 15_000)
  expect(idOf(await acquire('short', 1000))).not.toBe(idOf(long))
  expect(idOf(await acquire('y', 15_000))).not.toBe(idOf(long))
})

// Guards against a shared prefix that every instance processes when its calls come at once.
test('calls with the same uncached prefix follow one another at one instance', async () => {
  const first = await acquire('x', 15_000, 'shared')
  await vi.advanceTimersByTimeAsync(15)
  expect(idOf(await acquire('y', 15_000, 'shared'))).toBe(idOf(first))
})

// Guards against instances that are avoided for prompts that they have processed.
test('a prompt that has had its first event no longer counts', async () => {
  const first = await acquire('x', 25_000)
  await acquire('y', 5000)
  first.endPrefill()
  expect(idOf(await acquire('z', 1000))).toBe(idOf(first))
})
