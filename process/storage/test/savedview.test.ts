import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { Cluster, useFakeClock } from './cluster.js'

const settleMs = 4000
const probe = { viewVersion: 0, cursor: 0, limit: 0, epoch: '' }

let cluster: Cluster

beforeEach(async () => {
  useFakeClock()
  cluster = await Cluster.start()
})

afterEach(() => {
  cluster.stop()
  vi.useRealTimers()
})

// Guards against LOST: an instance that had just started acknowledged a turn by the view of an entry that still counted
// a machine that was removed since.
test('an instance that starts while the store is unavailable tells the view that it knew before', async () => {
  const [, , restarted] = cluster.nodes
  const { version } = cluster.view!
  cluster.store.isUnavailable = true
  cluster.restart(restarted!, false)
  const { standing } = await restarted!.ledger!.digest(probe)
  expect([standing?.viewVersion, standing?.newerView?.members.length]).toEqual([version, 3])
  await cluster.advance(settleMs)
  await cluster.appendTurn(false)
  expect(restarted!.ledger!.view.version).toBe(version)
  expect(await cluster.countFoundTurns()).toBe(1)
})

test('an instance with a new disk begins without a view', async () => {
  const [first] = cluster.nodes
  cluster.store.isUnavailable = true
  cluster.restart(first!, true)
  expect(first!.ledger!.view.version).toBe(0)
})

// Guards against a step that is taken by a view which a restart forgets.
test('a view that cannot be saved is neither told nor followed, and is adopted once it can be', async () => {
  const [first, second, third] = cluster.nodes
  const { version } = cluster.view!
  vi.spyOn(first!.ledger!, 'adoptView').mockRejectedValue(new Error('no space'))
  await cluster.retire(third!)
  await cluster.advance(settleMs)
  expect(second!.ledger!.view.version).toBeGreaterThan(version)
  expect(first!.ledger!.view.version).toBe(version)
  expect(cluster.view!.members.find(({ name }) => name === first!.name)?.syncedView).toBe(0)
  vi.mocked(first!.ledger!.adoptView).mockRestore()
  await cluster.advance(settleMs)
  expect(first!.ledger!.view.version).toBe(cluster.view!.version)
  expect(cluster.retirementState(third!)).toBe('completed')
})
