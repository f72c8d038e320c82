import { beforeEach, expect, test, vi } from 'vitest'
import { InstanceClient } from '#connection/upstream'
import type { Instance } from '#process/instances'
import { InstanceRegistry } from '#process/instances'
import { noopLog } from '#process/log'
import { RequestLimits } from '#process/requestlimit'
import type { Sharer, Sharers } from '#process/requestlimit'
import { parseInstance } from '#platform'
import { listObjects } from '#standin/store'

const sharer = (name: string): Sharer => ({ name, processors: 1 })

let instance: Instance

beforeEach(() => {
  vi.spyOn(Math, 'random').mockReturnValue(0.5)
  const connect = ({ address }: { address: string }): InstanceClient => new InstanceClient(address, 4)
  const registry = new InstanceRegistry({ parseInstance, connect, onChange: () => {} }, noopLog)
  const spec = { service: 's', address: '10.0.0.1:80', zone: 'z', slots: 1, state: 'ready' }
  listObjects(registry, { objects: [{ name: 'a', revision: 1, spec, status: null }], revision: 1 }, false)
  instance = registry.get('a')!
  return () => { vi.restoreAllMocks() }
})

const isOpen = (nowMs: number): boolean => instance.limit?.isOpen(nowMs) ?? true

test('requests are evenly spaced, and no more than a quarter of an interval is saved up', () => {
  new RequestLimits({ own: sharer('e0'), others: [sharer('e1')] }, noopLog).record(instance, 4, 1000)
  expect([isOpen(1249), isOpen(1250)]).toEqual([false, true])
  instance.limit!.take(3000)
  expect([isOpen(3374), isOpen(3375)]).toEqual([false, true])
  instance.limit!.take(3400)
  expect([isOpen(3874), isOpen(3875)]).toEqual([false, true])
})

test('a limit lasts until a response does not name it', () => {
  const limits = new RequestLimits({ own: sharer('e0'), others: [] }, noopLog)
  limits.record(instance, 4, 0)
  limits.record(instance, 4, 10)
  expect(isOpen(20)).toBe(false)
  limits.record(instance, null, 30)
  expect([instance.limit, isOpen(30)]).toEqual([null, true])
})

test('another limit moves the time of the next request by as much', () => {
  const limits = new RequestLimits({ own: sharer('e0'), others: [] }, noopLog)
  limits.record(instance, 1, 0)
  limits.record(instance, 2, 100)
  expect([isOpen(299), isOpen(301)]).toEqual([false, true])
})

test('the share changes with the number of entries, and is small until they are listed', () => {
  let others: Sharer[] | null = null
  const sharers: Sharers = { own: sharer('e0'), get others () { return others } }
  const limits = new RequestLimits(sharers, noopLog)
  const shares = [null, ['e1'], ['e1', 'e2', 'e3']].map(names => {
    others = names?.map(sharer) ?? null
    limits.record(instance, 20, 0)
    return instance.limit!.sharePerS
  })
  expect(shares[0]).toBeLessThan(1)
  expect(shares.slice(1)).toEqual([10, 5])
})
