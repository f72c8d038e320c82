import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { Call } from '#request/call'
import { TokenReservation } from '#request/turn'
import { RouteKind } from '#version/configuration'
import type { Route } from '#version/configuration'
import { noopLog } from '#process/log'
import { createCall } from '#standin/call'
import { Cluster, faults, pauseClock } from './cluster.js'
import type { Fault } from './cluster.js'

const mostTokens = 10
const histories = Number(process.env.HISTORIES ?? 25)
const seed = Number(process.env.HISTORY_SEED ?? 20261204)

const route: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: RouteKind.streaming,
  timeoutMs: 4000,
  targetLatencyMs: 200,
  priority: 0,
  targets: [],
  maxInstances: 1,
  keepsHistory: true,
  retentionMs: 60_000,
  resumable: false
}

let cluster: Cluster
let calls = 0

beforeEach(async () => {
  pauseClock()
  cluster = await Cluster.start()
})

afterEach(() => {
  cluster.stop()
  vi.useRealTimers()
})

function callOf (tokenBudget: number): Call {
  return createCall(`c${++calls}`, { program: { id: 'p', sessionId: 's', remainingMs: 4000, tokenBudget } })
}

/// Whether a turn through an entry may run.
function opens (entry: number, tokenBudget: number): Promise<TokenReservation | null> {
  return TokenReservation.acquire(callOf(tokenBudget), route, mostTokens, cluster.entries[entry]!, noopLog)
    .catch(() => null)
}

// Each of three turns at once may see just one of the others: their reservations reach the
// storage instances in three orders, and each counts two instances' answers.
test('three turns through three entries at once pass the budget by no more than one turn', async () => {
  const latencies = [[10, 20, 90], [90, 10, 20], [20, 90, 10]]
  cluster.latencyMs = (from, address) => {
    const row = latencies[Number(from.replace('entry', ''))]
    return row?.[Number(address.slice(1, address.indexOf(':')))] ?? 1
  }
  const tokenBudget = 15
  const opened = await cluster.settle(Promise.all([0, 1, 2].map(entry => opens(entry, tokenBudget))))
  const handedOut = opened.filter(account => account !== null).length * mostTokens
  expect(handedOut).toBeLessThanOrEqual(tokenBudget + mostTokens)
})

test.each([1, 5, 10])('of three turns at once, one runs where the budget holds one more (%i tokens left)', async left => {
  cluster.latencyMs = (from, address) => (from.length + address.length) % 3 + 1
  const opened = await cluster.settle(Promise.all([0, 1, 2].map(entry => opens(entry, left))))
  expect(opened.filter(account => account !== null)).toHaveLength(1)
})

type Step = Fault | 'spend' | 'crash-entry'
const steps: readonly Step[] = ['spend', 'spend', 'spend', 'crash-entry', 'kill', 'restart', 'restart', 'wipe', 'away', 'back', 'wait']
const maxLatencyMs = 30

test(`in any history of faults that are tolerated, no budget is passed by more than one turn (seed ${seed})`, async () => {
  const history = fc.array(fc.tuple(fc.constantFrom(...steps), fc.nat({ max: 1000 })), { minLength: 5, maxLength: 25 })
  const delays = fc.array(fc.integer({ min: 1, max: maxLatencyMs }), { minLength: 40, maxLength: 40 })
  const budget = fc.integer({ min: 5, max: 60 })
  await fc.assert(fc.asyncProperty(history, delays, budget, async (sequence, delaysMs, tokenBudget) => {
    cluster.stop()
    cluster = await Cluster.start()
    let messages = 0
    cluster.latencyMs = () => delaysMs[messages++ % delaysMs.length]!
    let handedOut = 0
    for (const [step, pick] of sequence) {
      if (step !== 'spend' && step !== 'crash-entry') {
        await faults[step](cluster, cluster.nodes[pick % cluster.nodes.length]!)
        continue
      }
      const opened = await cluster.settle(Promise.all([0, 1, 2].map(entry => opens(entry, tokenBudget))))
      for (const [i, account] of opened.entries()) {
        if (account === null) continue
        const tokens = (pick + i) % (mostTokens + 1)
        handedOut += tokens
        // An entry that dies settles nothing: the reservation counts at its most.
        if (step === 'spend') account.settle(tokens)
      }
      expect(handedOut).toBeLessThanOrEqual(tokenBudget + mostTokens)
    }
  }), { numRuns: histories, seed, endOnFailure: true })
}, 120_000)
