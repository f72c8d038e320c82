import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { StoredObject } from '#connection/store'
import { InstanceClient } from '#connection/upstream'
import { InstanceRegistry } from '#process/instances'
import { noopLog } from '#process/log'
import { parseInstance } from '#platform'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

function entry (name: string, fields: object = {}): StoredObject {
  const spec = { service: 's', address: '10.0.0.1:80', zone: 'z', slots: 4, state: 'ready', ...fields }
  return { name, revision: 1, spec, status: null }
}

function registry (): InstanceRegistry {
  return new InstanceRegistry({
    parseInstance,
    connect: ({ address }) => new InstanceClient(address, 4),
    onChange: () => {}
  }, noopLog)
}

function ids (instances: InstanceRegistry): string[] {
  return [...instances.readyInstances('s')].map(instance => instance.description.id)
}

test('instances that are leaving or gone get no calls', () => {
  const instances = registry()
  instances.onListing({ objects: [entry('a'), entry('b'), entry('c')], revision: 1 }, false)
  instances.onChanges([{ name: 'a', object: entry('a', { state: 'draining' }) }, { name: 'b', object: null }])
  expect(ids(instances)).toEqual(['c'])
})

test('what lapsed during an outage has two seconds to come back', () => {
  const instances = registry()
  instances.onListing({ objects: [entry('a'), entry('b')], revision: 1 }, false)
  instances.onListing({ objects: [], revision: 2 }, true)
  expect(ids(instances)).toEqual(['a', 'b'])
  vi.advanceTimersByTime(1500)
  instances.onChanges([{ name: 'a', object: entry('a') }])
  vi.advanceTimersByTime(600)
  expect(ids(instances)).toEqual(['a'])
})

test('without an outage a missing entry is gone at once', () => {
  const instances = registry()
  instances.onListing({ objects: [entry('a')], revision: 1 }, false)
  instances.onListing({ objects: [], revision: 2 }, false)
  expect(ids(instances)).toEqual([])
})

test('the same id at another address is another instance', () => {
  const instances = registry()
  instances.onListing({ objects: [entry('a')], revision: 1 }, false)
  const before = instances.get('a')
  instances.onChanges([{ name: 'a', object: entry('a', { address: '10.0.0.2:80' }) }])
  expect(instances.get('a')).not.toBe(before)
  expect(before?.isRemoved).toBe(true)
})

test.each([
  ['no state', { state: undefined }],
  ['a state without a meaning', { state: 'asleep' }],
  ['an address that is none', { address: 'somewhere' }],
  ['slots of another type', { slots: 'four' }]
])("another writer's entry names no instance: %s", (_, fields) => {
  const instances = registry()
  instances.onListing({ objects: [entry('a', fields), entry('b')], revision: 1 }, false)
  expect(ids(instances)).toEqual(['b'])
})
