import fc from 'fast-check'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { Cluster, faults, pauseClock, startSize } from './cluster.js'
import type { Fault } from './cluster.js'

const copyMs = 4000
const recoveryMs = 15_000
const histories = Number(process.env.HISTORIES ?? 25)
const seed = Number(process.env.HISTORY_SEED ?? 20261204)

let cluster: Cluster

beforeEach(async () => {
  pauseClock()
  cluster = await Cluster.start()
})

afterEach(() => {
  cluster.stop()
  vi.useRealTimers()
})

describe('one after the other', () => {
  test('every disk is lost in turn, and each kept turn stays', async () => {
    for (const node of [...cluster.nodes]) {
      await cluster.keepTurn(false)
      cluster.restart(node, true)
      await cluster.advance(copyMs)
      expect(cluster.isWhole).toBe(true)
    }
    expect(await cluster.found()).toBe(startSize)
  })

  test('an added instance takes a retired one\'s place; then another disk is lost', async () => {
    await cluster.keepTurn(false)
    cluster.add()
    await cluster.advance(copyMs)
    const [retired, wiped] = cluster.nodes
    await cluster.retire(retired!)
    await cluster.advance(copyMs)
    expect(cluster.retirementState(retired!)).toBe('completed')
    cluster.remove(retired!)
    cluster.restart(wiped!, true)
    expect(await cluster.found()).toBe(1)
    await cluster.advance(copyMs)
    expect(cluster.isWhole).toBe(true)
  })

  test('an instance that is gone for good gives way to the one that replaces it', async () => {
    await cluster.keepTurn(false)
    cluster.remove(cluster.nodes[0]!)
    cluster.add()
    await cluster.advance(recoveryMs)
    expect(cluster.view?.members.map(member => member.name).sort()).toEqual(['s1', 's2', 's3'])
    cluster.restart(cluster.nodes[1]!, true)
    await cluster.advance(copyMs)
    expect(await cluster.found()).toBe(1)
  })

  test('all are killed while one loses its disk', async () => {
    await cluster.keepTurn(false)
    for (const node of cluster.nodes) cluster.kill(node)
    for (const [i, node] of cluster.nodes.entries()) cluster.restart(node, i === 0)
    await cluster.advance(copyMs)
    expect(await cluster.found()).toBe(1)
    expect(cluster.isWhole).toBe(true)
  })

  test('while the platform\'s store is away turns are kept, and a lost disk waits', async () => {
    cluster.store.isAway = true
    cluster.restart(cluster.nodes[0]!, true)
    await cluster.keepTurn(false)
    expect(cluster.kept.size).toBe(1)
    cluster.store.isAway = false
    await cluster.advance(copyMs)
    expect(cluster.isWhole).toBe(true)
  })
})

type Step = Fault | 'keep' | 'continue' | 'add' | 'retire' | 'remove' | 'cut' | 'heal' | 'lossy'

const steps: readonly Step[] = ['keep', 'keep', 'continue', 'kill', 'restart', 'restart', 'wipe', 'add', 'retire', 'remove', 'cut', 'heal', 'away', 'back', 'lossy', 'wait', 'wait']
const maxNodes = 7

/// Does what a step says, where the tolerated losses allow it.
const perform: Readonly<Record<Step, (on: Cluster, node: Cluster['nodes'][number]) => void | Promise<void>>> = {
  ...faults,
  keep: on => on.keepTurn(false),
  continue: on => on.keepTurn(true),
  add: on => { if (on.nodes.length < maxNodes) on.add() },
  retire: (on, node) => on.retire(node),
  remove: (on, node) => {
    if (on.isWhole && on.view!.members.length > startSize) on.remove(node)
  },
  cut: (on, node) => {
    for (const other of on.nodes) if (other !== node) on.cuts.add(`${node.name}|${other.name}`)
  },
  heal: on => on.cuts.clear(),
  lossy: on => { on.store.losesAnswers = !on.store.losesAnswers }
}

test(`in any history of faults that are tolerated, no kept turn is denied or lost (seed ${seed})`, async () => {
  const history = fc.array(fc.tuple(fc.constantFrom(...steps), fc.nat({ max: 20 })), { minLength: 5, maxLength: 30 })
  await fc.assert(fc.asyncProperty(history, async sequence => {
    cluster.stop()
    cluster = await Cluster.start()
    for (const [step, pick] of sequence) {
      await perform[step](cluster, cluster.nodes[pick % cluster.nodes.length]!)
      expect(await cluster.denied()).toEqual([])
    }
    cluster.cuts.clear()
    cluster.store.isAway = cluster.store.losesAnswers = false
    for (const node of cluster.nodes) if (node.ledger === null) cluster.restart(node, false)
    await cluster.advance(recoveryMs)
    expect(await cluster.found()).toBe(cluster.kept.size)
  }), { numRuns: histories, seed, endOnFailure: true })
}, 120_000)
