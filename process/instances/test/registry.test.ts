import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { StoredObject } from '#connection/store'
import { InstanceClient } from '#connection/upstream'
import { InstanceRegistry } from '#process/instances'
import { noopLog } from '#process/log'
import { parseInstance } from '#platform'
import { changeObjects, listObjects } from '#standin/store'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

function createObject (name: string, fields: object = {}): StoredObject {
  const spec = { service: 's', address: '10.0.0.1:80', zone: 'z', slots: 4, state: 'ready', ...fields }
  return { name, revision: 1, spec, status: null }
}

function createRegistry (): InstanceRegistry {
  return new InstanceRegistry({
    parseInstance,
    connect: ({ address }) => new InstanceClient(address, 4),
    onChange: () => {}
  }, noopLog)
}

function getReadyIds (registry: InstanceRegistry): string[] {
  return [...registry.readyInstances('s')].map(instance => instance.description.id)
}

test('draining and deleted instances are not among the ready ones', () => {
  const registry = createRegistry()
  listObjects(registry, { objects: [createObject('a'), createObject('b'), createObject('c')], revision: 1 }, false)
  changeObjects(registry, [{ name: 'a', revision: 2, object: createObject('a', { state: 'draining' }) }, { name: 'b', revision: 2, object: null }])
  expect(getReadyIds(registry)).toEqual(['c'])
})

test('an instance missing after a store outage is removed if it does not return within two seconds', () => {
  const registry = createRegistry()
  listObjects(registry, { objects: [createObject('a'), createObject('b')], revision: 1 }, false)
  listObjects(registry, { objects: [], revision: 2 }, true)
  expect(getReadyIds(registry)).toEqual(['a', 'b'])
  vi.advanceTimersByTime(1500)
  changeObjects(registry, [{ name: 'a', revision: 2, object: createObject('a') }])
  vi.advanceTimersByTime(600)
  expect(getReadyIds(registry)).toEqual(['a'])
})

test('an instance missing from a listing is removed immediately if there was no outage', () => {
  const registry = createRegistry()
  listObjects(registry, { objects: [createObject('a')], revision: 1 }, false)
  listObjects(registry, { objects: [], revision: 2 }, false)
  expect(getReadyIds(registry)).toEqual([])
})

test('an instance is replaced when its address changes', () => {
  const registry = createRegistry()
  listObjects(registry, { objects: [createObject('a')], revision: 1 }, false)
  const before = registry.get('a')
  changeObjects(registry, [{ name: 'a', revision: 2, object: createObject('a', { address: '10.0.0.2:80' }) }])
  expect(registry.get('a')).not.toBe(before)
  expect(before?.isRemoved).toBe(true)
})

test.each([
  ['no state', { state: undefined }],
  ['an unknown state', { state: 'asleep' }],
  ['an invalid address', { address: 'somewhere' }],
  ['slots that are not a number', { slots: 'four' }]
])('an object that another writer stored with %s is ignored, and other instances are still listed', (_, fields) => {
  const registry = createRegistry()
  listObjects(registry, { objects: [createObject('a', fields), createObject('b')], revision: 1 }, false)
  expect(getReadyIds(registry)).toEqual(['b'])
})

// An instance may start again under its id, and entries written by its earlier process may arrive late.
test.each<[string, object[], string[]]>([
  ['a new process is ready although the earlier one was draining',
    [{ born: 1, state: 'draining' }, { born: 2 }], ['a']],
  ['a late entry of the earlier process is ignored', [{ born: 2 }, { born: 1, state: 'draining' }], ['a']],
  ['a late entry of the same process does not end its draining', [{ born: 1, state: 'draining' }, { born: 1 }], []],
  ['a process that was draining is not ready when its removed entry returns',
    [{ born: 1, state: 'draining' }, {}, { born: 1 }], []],
  ['a process that was ready is ready when its removed entry returns', [{ born: 1 }, {}, { born: 1 }], ['a']],
  ['without a start time the latest entry holds', [{ state: 'draining' }, { state: 'ready' }], ['a']],
  ['a start time that is not a number makes the entry unusable', [{ born: 'today' }], []]
])('%s', (_, entries, readyIds) => {
  const registry = createRegistry()
  for (const fields of entries) {
    const isRemoved = Object.keys(fields).length === 0
    changeObjects(registry, [{ name: 'a', revision: 2, object: isRemoved ? null : createObject('a', fields) }])
  }
  expect(getReadyIds(registry)).toEqual(readyIds)
})

test('an instance that said that it will stop gets calls again once it has started again', () => {
  const registry = createRegistry()
  changeObjects(registry, [{ name: 'a', revision: 2, object: createObject('a', { born: 1 }) }])
  registry.get('a')!.isLeaving = true
  changeObjects(registry, [{ name: 'a', revision: 2, object: createObject('a', { born: 1, slots: 5 }) }])
  expect(getReadyIds(registry)).toEqual([])
  changeObjects(registry, [{ name: 'a', revision: 2, object: createObject('a', { born: 2 }) }])
  expect(getReadyIds(registry)).toEqual(['a'])
})
