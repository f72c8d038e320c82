import { expect, test } from 'vitest'
import { FairShares, Standing } from '#process/fairness'

interface Served { readonly sent: number, readonly served: number }

/// Replays a queue of one service on which workspaces send `ratesPerS` for 60 s, then the last one `factor` times as
/// much for 8 s, which are counted. `capacityPerS` calls are served, the others wait 500 ms at most.
function replay (ratesPerS: readonly number[], factor: number, capacityPerS: number, isFair: boolean): Served[] {
  const shares = new FairShares()
  const counts = ratesPerS.map(() => ({ sent: 0, served: 0 }))
  let waiting: { workspace: number, sinceMs: number }[] = []
  const due = ratesPerS.map(() => 0)
  let capacity = 0
  for (let nowMs = 0; nowMs < 68_000; nowMs += 10) {
    const isCounted = nowMs >= 60_000
    ratesPerS.forEach((ratePerS, workspace) => {
      due[workspace]! += ratePerS / 100 * (isCounted && workspace === ratesPerS.length - 1 ? factor : 1)
      for (; due[workspace]! >= 1; due[workspace]!--) {
        shares.recordDemand(`w${workspace}`, nowMs)
        waiting.push({ workspace, sinceMs: nowMs })
        if (isCounted) counts[workspace]!.sent++
      }
    })
    waiting = waiting.filter(({ sinceMs }) => nowMs - sinceMs < 500)
    for (capacity = Math.min(capacity + capacityPerS / 100, 2); capacity >= 1 && waiting.length > 0; capacity--) {
      const levels = waiting.map(({ workspace }) => isFair ? shares.getLevel(`w${workspace}`, 0, 0, nowMs) : 0)
      const { workspace } = waiting.splice(levels.indexOf(Math.min(...levels)), 1)[0]!
      shares.recordService(`w${workspace}`, nowMs)
      if (isCounted) counts[workspace]!.served++
    }
  }
  return counts
}

const share = (counts: readonly Served[]): number => {
  return counts.reduce((sum, { served }) => sum + served, 0) / counts.reduce((sum, { sent }) => sum + sent, 0)
}

// Guards against a workspace that sends many times its usual load and crowds out the others.
test.each([
  ['an ordinary workspace', [10, 10, 10, 10], 8, 50],
  ['a large workspace', [6, 6, 6, 20], 6, 48],
  ['one of few calls', [15, 15, 15, 0.5], 60, 50]
])('%s sends many times its usual load: the others are served, and it is a quarter as often as all', (_, ratesPerS, factor, capacityPerS) => {
  const counts = replay(ratesPerS, factor, capacityPerS, true)
  const unfair = replay(ratesPerS, factor, capacityPerS, false)
  const others = share(counts.slice(0, -1))
  expect(others).toBeGreaterThan(0.8)
  expect(others).toBeGreaterThan(share(unfair.slice(0, -1)) + 0.15)
  expect(share(counts.slice(-1))).toBeGreaterThan(share(counts) / 4)
})

test('while all ask for too much in the proportion that is usual, none is served much more often than another', () => {
  const counts = replay([1, 5, 10, 30], 1, 25, true)
  for (const count of counts) expect(share([count]) / share(counts)).toBeGreaterThan(0.6)
})

test('only the workspace whose demand grows stands above its share', () => {
  const shares = new FairShares()
  for (let nowMs = 0; nowMs < 10_000; nowMs += 100) {
    for (const workspace of ['a', 'b']) shares.recordDemand(workspace, nowMs)
  }
  expect(shares.getStanding('a', 10_000)).toBe(Standing.equal)
  for (let i = 0; i < 150; i++) shares.recordDemand('b', 10_000)
  expect([shares.getStanding('a', 10_000), shares.getStanding('b', 10_000)]).toEqual([Standing.within, Standing.above])
  expect(shares.getStanding('a', 14_000)).toBe(Standing.equal)
})

test('without workspaces nothing is recorded, and all results are neutral', () => {
  const shares = new FairShares()
  for (let i = 0; i < 1000; i++) {
    shares.recordDemand(null, i)
    shares.recordService(null, i)
  }
  const level = shares.getLevel(null, 500, 500, 1000)
  expect([shares.isActive, level, shares.getStanding(null, 1000)]).toEqual([false, 0, Standing.equal])
})

// Guards against memory that grows with the names of workspaces.
test('the accounts of thousands of workspaces are dropped, those without recent calls first', () => {
  const shares = new FairShares()
  shares.recordDemand('first', 0)
  for (let i = 0; i < 9000; i++) shares.recordDemand(`w${i}`, 1)
  expect(shares.getWeight('first', 2)).toBeLessThan(shares.getWeight('w8999', 2))
})

// Guards against levels that are kept beyond the moment for which they were computed.
test('a level follows service at the same time, and the time', () => {
  const shares = new FairShares()
  for (const workspace of ['a', 'b']) shares.recordDemand(workspace, 0)
  const levels = [shares.getLevel('a', 0, 0, 0)]
  for (let i = 0; i < 20; i++) shares.recordService('a', 0)
  for (const nowMs of [0, 60_000]) levels.push(shares.getLevel('a', 0, 0, nowMs))
  expect(levels).toEqual([0, 1, 0])
})

// Guards against the accounts of thousands of workspaces that are kept for good in each service.
test('the account of a workspace that has not called for minutes is dropped', () => {
  const shares = new FairShares()
  for (let i = 0; i < 100; i++) shares.recordDemand(`w${i}`, i * 1000)
  expect(shares.accountCount).toBe(100)
  shares.recordDemand('w99', 350_500)
  expect(shares.accountCount).toBe(49)
})
