import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { Cluster, useFakeClock } from './cluster.js'

const copyWaitMs = 4000
const cutMs = 30_000
/// One a second: more than a member needs that is evicted and returns time after time.
const maxChanges = 30
/// The phases of the instances' contacts, and with them who is missed first, depend on the seed.
const seeds = Array.from({ length: Number(process.env.PLAYS ?? 8) }, (_, i) => i + 1)

let cluster: Cluster | null = null

beforeEach(() => useFakeClock())

afterEach(() => {
  cluster?.stop()
  vi.useRealTimers()
})

// Guards against a member that takes the others for lost one after the other, though only itself is cut off.
describe.each([
  { name: 'a member is cut off from the others', isMember: true, isRetired: false },
  { name: 'a member is retired and cut off from the others', isMember: true, isRetired: true },
  { name: 'an instance that stands by is cut off from the others', isMember: false, isRetired: false }
])('$name, not from the store', ({ isMember, isRetired }) => {
  test.each(seeds)('the view settles (seed %i)', async seed => {
    cluster = await Cluster.start(1, seed)
    await cluster.advance(copyWaitMs)
    const { version, members } = cluster.view!
    const memberNames = new Set(members.map(({ name }) => name))
    const cutOff = cluster.nodes.find(({ name }) => memberNames.has(name) === isMember)!
    for (const { name } of cluster.nodes) if (name !== cutOff.name) cluster.partitions.add(`${cutOff.name}|${name}`)
    if (isRetired) await cluster.retire(cutOff)
    await cluster.advance(cutMs)
    expect(cluster.view!.version - version).toBeLessThan(maxChanges)
  })
})
