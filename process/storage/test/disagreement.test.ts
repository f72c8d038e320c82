import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { Cluster, useFakeClock } from './cluster.js'

const copyWaitMs = 4000
const cutMs = 30_000
/// Two a second: more than a member needs that is evicted and returns time after time.
const maxChanges = 60

let cluster: Cluster

beforeEach(async () => {
  useFakeClock()
  cluster = await Cluster.start(1)
})

afterEach(() => {
  cluster.stop()
  vi.useRealTimers()
})

test.each([
  { name: 'a member is cut off from the others', isMember: true, isRetired: false },
  { name: 'a member is retired and cut off from the others', isMember: true, isRetired: true },
  { name: 'an instance that stands by is cut off from the others', isMember: false, isRetired: false }
])('$name, not from the store: the view settles', async ({ isMember, isRetired }) => {
  await cluster.advance(copyWaitMs)
  const { version, members } = cluster.view!
  const memberNames = new Set(members.map(({ name }) => name))
  const cutOff = cluster.nodes.find(({ name }) => memberNames.has(name) === isMember)!
  for (const { name } of cluster.nodes) if (name !== cutOff.name) cluster.partitions.add(`${cutOff.name}|${name}`)
  if (isRetired) await cluster.retire(cutOff)
  await cluster.advance(cutMs)
  expect(cluster.view!.version - version).toBeLessThan(maxChanges)
})
