import fc from 'fast-check'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { Cluster } from './cluster.js'

const startSize = 3
const copyMs = 4000
const recoveryMs = 15_000
const histories = Number(process.env.HISTORIES ?? 25)
const seed = Number(process.env.HISTORY_SEED ?? 20261204)

let cluster: Cluster

beforeEach(async () => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date'] })
  cluster = new Cluster()
  await cluster.start(startSize)
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

type Step = 'keep' | 'continue' | 'kill' | 'restart' | 'wipe' | 'add' | 'retire' | 'remove' | 'cut' | 'heal' | 'away' | 'back' | 'lossy' | 'wait'

const steps: readonly Step[] = ['keep', 'keep', 'continue', 'kill', 'restart', 'restart', 'wipe', 'add', 'retire', 'remove', 'cut', 'heal', 'away', 'back', 'lossy', 'wait', 'wait']
const maxNodes = 7
const waitMs = 1500

/// Does what a step says, where the tolerated losses allow it.
const perform: Readonly<Record<Step, (on: Cluster, pick: number) => void | Promise<void>>> = {
  keep: on => on.keepTurn(false),
  continue: on => on.keepTurn(true),
  kill: (on, pick) => on.kill(on.nodes[pick % on.nodes.length]!),
  restart: on => { for (const node of on.nodes) if (node.ledger === null) on.restart(node, false) },
  wipe: (on, pick) => {
    const node = on.nodes[pick % on.nodes.length]!
    if (on.isWhole && !node.isGone) on.restart(node, true)
  },
  add: on => { if (on.nodes.length < maxNodes) on.add() },
  retire: (on, pick) => on.retire(on.nodes[pick % on.nodes.length]!),
  remove: (on, pick) => {
    const node = on.nodes[pick % on.nodes.length]!
    if (on.isWhole && on.view!.members.length > startSize) on.remove(node)
  },
  cut: (on, pick) => {
    const node = on.nodes[pick % on.nodes.length]!
    for (const other of on.nodes) if (other !== node) on.cuts.add(`${node.name}|${other.name}`)
  },
  heal: on => on.cuts.clear(),
  away: on => { on.store.isAway = true },
  back: on => { on.store.isAway = false },
  lossy: on => { on.store.losesAnswers = !on.store.losesAnswers },
  wait: on => on.advance(waitMs)
}

test(`in any history of faults that are tolerated, no kept turn is denied or lost (seed ${seed})`, async () => {
  const history = fc.array(fc.tuple(fc.constantFrom(...steps), fc.nat({ max: 20 })), { minLength: 5, maxLength: 30 })
  await fc.assert(fc.asyncProperty(history, async sequence => {
    cluster.stop()
    cluster = new Cluster()
    await cluster.start(startSize)
    for (const [step, pick] of sequence) {
      await perform[step](cluster, pick)
      expect(await cluster.denied()).toEqual([])
    }
    cluster.cuts.clear()
    cluster.store.isAway = cluster.store.losesAnswers = false
    for (const node of cluster.nodes) if (node.ledger === null) cluster.restart(node, false)
    await cluster.advance(recoveryMs)
    expect(await cluster.found()).toBe(cluster.kept.size)
  }), { numRuns: histories, seed, endOnFailure: true })
}, 120_000)
