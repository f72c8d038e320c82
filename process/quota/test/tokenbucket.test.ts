import { expect, test } from 'vitest'
import { TokenBucket } from '#process/quota'

type CreditDemand = Parameters<TokenBucket['grant']>[0]

function demand (continuing: number, starting = 0, spare = 0): CreditDemand {
  return { continuing, starting, spare }
}

test.each([
  ['is empty at its start', { ratePerS: 10, burst: 10 }, 0, 0],
  ['accrues credit at its rate', { ratePerS: 10, burst: 10 }, 500, 5],
  ['holds its burst at most', { ratePerS: 10, burst: 10 }, 60_000, 10],
  ['holds one request without a burst', { ratePerS: 10, burst: 0 }, 60_000, 1],
  ['accrues nothing before its start', { ratePerS: 10, burst: 10 }, -500, 0]
])('a bucket %s', (_, quota, nowMs, level) => {
  expect(new TokenBucket(quota, 0).getLevel(nowMs)).toBeCloseTo(level)
})

// Guards against programs that have begun and can't continue since new ones took the last credit.
test('first turns and spare credit leave the reserve to calls of programs that have begun', () => {
  const bucket = new TokenBucket({ ratePerS: 8, burst: 8 }, 0)
  expect(bucket.grant(demand(0, 8, 8), 1000)).toMatchObject({ starting: 6, spare: 0 })
  expect(bucket.grant(demand(8), 1000)).toMatchObject({ continuing: 2 })
})

// Guards against a reserve that takes all of a small bucket.
test('a first turn gets the only request of a small bucket', () => {
  expect(new TokenBucket({ ratePerS: 1, burst: 1 }, 0).grant(demand(0, 1), 1000)).toMatchObject({ starting: 1 })
})

// Guards against callers that are all told to come back at the same moment.
test('calls that get none are told when credit is due, one after the other', () => {
  const bucket = new TokenBucket({ ratePerS: 10, burst: 10 }, 0)
  const dueMs = [1, 2, 1].map(count => bucket.grant(demand(count), 0).continuingDueMs)
  expect(dueMs).toEqual([100, 200, 400])
  expect(bucket.grant(demand(1), 100)).toMatchObject({ continuing: 1, continuingDueMs: 0 })
})

test('a lower limit cuts the level, and returned credit does not exceed the capacity', () => {
  const bucket = new TokenBucket({ ratePerS: 100, burst: 100 }, 0)
  bucket.setQuota({ ratePerS: 1, burst: 2 }, 5000)
  bucket.giveBack(5, 5000)
  expect(bucket.getLevel(5000)).toBe(2)
})
