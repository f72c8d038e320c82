import { expect, test } from 'vitest'
import type { Instance } from '#process/instances'
import { findSpeedFactor } from '../src/overdue.js'

const nowMs = 10_000

// Guards against calls that go on to an instance that has become slow until those there have ended.
test.each<[string, number, number[], number | null, number]>([
  ['no call in flight', 1, [], 100, 1],
  ['calls within the usual time', 1, [50, 190], 100, 1],
  ['an overdue call', 1, [50, 300], 100, 3],
  ['a call that hangs', 1, [60_000], 100, 8],
  ['calls as slow as the instance is known to be', 2, [390], 100, 2],
  ['calls slower than that', 2, [500], 100, 5],
  ['a fast instance', 0.5, [50], 100, 0.5],
  ['an unknown usual time', 1, [5000], null, 1]
])('%s', (_, learned, agesMs, typicalMs, expected) => {
  const inFlight = new Set(agesMs.map(ageMs => ({ kind: 'r', startedAtMs: nowMs - ageMs })))
  const model = { getTypicalMs: () => typicalMs }
  const instance = { inFlight, model, speed: { getFactor: () => learned } } as unknown as Instance
  expect(findSpeedFactor(instance, nowMs)).toBe(expected)
})
