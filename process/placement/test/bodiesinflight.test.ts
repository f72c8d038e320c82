import { expect, test } from 'vitest'
import type { Instance } from '#process/instances'
import { BodiesInFlight, maxBodyBytesAtInstance } from '#process/placement'

// Guards against an instance that is sent more bodies at once than it has memory for, and crashes.

const createInstance = (): Instance => ({}) as Instance

test('large bodies at one instance stay within the bound, and another instance has room', () => {
  const bodies = new BodiesInFlight()
  const [first, second] = [createInstance(), createInstance()]
  const remove = bodies.add(first, maxBodyBytesAtInstance - 100_000)
  expect(bodies.hasRoom(first, 100_000)).toBe(true)
  expect(bodies.hasRoom(first, 100_001)).toBe(false)
  expect(bodies.hasRoom(second, maxBodyBytesAtInstance)).toBe(true)
  remove()
  expect(bodies.hasRoom(first, maxBodyBytesAtInstance)).toBe(true)
})

test('a body beyond the bound is sent to an instance without large ones', () => {
  expect(new BodiesInFlight().hasRoom(createInstance(), 2 * maxBodyBytesAtInstance)).toBe(true)
})

test('small bodies are bounded by the slots of an instance only', () => {
  const bodies = new BodiesInFlight()
  const instance = createInstance()
  bodies.add(instance, maxBodyBytesAtInstance)
  expect(bodies.hasRoom(instance, 10_000)).toBe(true)
})
