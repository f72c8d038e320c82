import { describe, expect, test } from 'vitest'
import { seededRandom } from '#emulator/policy'
import { InstanceSpeed, ServiceModel } from '#process/speed'
import type { ResponseObservation } from '#process/speed'

// Replays responses of instances of one service, as one or several entries see them.

const usual: ResponseObservation = {
  kind: 'tool',
  isEngine: false,
  isComplete: true,
  durationMs: 80,
  running: 2,
  firstEventMs: null,
  eventsMs: 0,
  eventCount: 0,
  uncachedTokens: null
}
const speeds = (count: number): InstanceSpeed[] => Array.from({ length: count }, () => new InstanceSpeed())

interface Replay {
  readonly factors: readonly number[]
  readonly responses: number
  readonly outlierShare?: number
  readonly isEngine?: boolean
}

function record (model: ServiceModel, speed: InstanceSpeed, observation: ResponseObservation, nowMs: number): void {
  for (const sample of model.observe(observation, speed.getFactor(nowMs))) speed.recordSample(sample, nowMs)
}

/// Each instance responds in turn, 100 ms after the one before.
function replay (options: Replay): [InstanceSpeed[], ServiceModel, number] {
  const { factors, responses, outlierShare = 0, isEngine = false } = options
  const random = seededRandom(1)
  const model = new ServiceModel()
  const instances = speeds(factors.length)
  let nowMs = 0
  for (let i = 0; i < responses; i++, nowMs += 100) {
    const index = i % factors.length
    const outlier = random() < outlierShare ? 30 : 1
    const durationMs = 80 * factors[index]! * outlier * (0.7 + 0.6 * random())
    const uncachedTokens = Math.round(500 + 4000 * random())
    const firstEventMs = (4 + uncachedTokens / 145) * factors[index]!
    const ofEngine = { isEngine, firstEventMs, eventsMs: durationMs, eventCount: 50, uncachedTokens }
    const observation = { ...usual, durationMs, ...(isEngine ? ofEngine : {}) }
    record(model, instances[index]!, observation, nowMs)
  }
  return [instances, model, nowMs]
}

describe.each([false, true])('of an engine: %s', isEngine => {
  // Guards against a placement that changes where all instances are equal.
  test('equal instances are neutral, whatever their responses vary by', () => {
    const [instances, , nowMs] = replay({ factors: [1, 1, 1, 1], responses: 400, outlierShare: 0.02, isEngine })
    expect(instances.map(speed => speed.getFactor(nowMs))).toEqual([1, 1, 1, 1])
  })

  test('a slow and a fast instance are told apart, despite outliers', () => {
    const factors = [1.8, 1, 1, 0.8]
    const [[slow, , , fast], , nowMs] = replay({ factors, responses: 200, outlierShare: 0.02, isEngine })
    expect(slow!.getFactor(nowMs)).toBeGreaterThan(1.3)
    expect(slow!.getFactor(nowMs)).toBeLessThan(2.2)
    expect(fast!.getFactor(nowMs)).toBeLessThanOrEqual(1)
  })
})

test('a few responses change nothing', () => {
  const [instances, , nowMs] = replay({ factors: [2, 1], responses: 8 })
  expect(instances.map(speed => speed.getFactor(nowMs))).toEqual([1, 1])
})

// Guards against an instance that is avoided for good: without calls, nothing shows that it has recovered.
test('what was learned is forgotten', () => {
  const [[slow], , nowMs] = replay({ factors: [2, 1, 1], responses: 200 })
  expect(slow!.getFactor(nowMs)).toBeGreaterThan(1.3)
  expect(slow!.getFactor(nowMs + 120_000)).toBe(1)
})

test('an instance that has become slow is recognized by its next responses', () => {
  const [[changed], model, nowMs] = replay({ factors: [1, 1, 1], responses: 300 })
  for (let i = 0; i < 3; i++) {
    record(model, changed!, { ...usual, durationMs: 600 }, nowMs + i * 200)
  }
  expect(changed!.getFactor(nowMs + 600)).toBeGreaterThan(2)
})

test.each([
  ['that were given up late', 900, 'slow'],
  ['that were given up early', 20, 'neutral']
])('calls without a response %s show that the instance is %s', (_, durationMs, expected) => {
  const [[given], model, nowMs] = replay({ factors: [1, 1, 1], responses: 300 })
  for (let i = 0; i < 4; i++) {
    record(model, given!, { ...usual, durationMs, isComplete: false }, nowMs)
  }
  expect(given!.getFactor(nowMs) > 1.3 ? 'slow' : 'neutral').toBe(expected)
})

test('the prefill rate starts at 299 tokens a millisecond and nears that of the engines', () => {
  expect(new ServiceModel().prefillTokensPerMs).toBeCloseTo(299)
  const [, model] = replay({ factors: [1, 1, 1], responses: 200, isEngine: true })
  expect(model.prefillTokensPerMs).toBeGreaterThan(135)
  expect(model.prefillTokensPerMs).toBeLessThan(165)
})

// What the instance reports explains the time that its responses take, and isn't counted twice.
test('reports and responses that say the same are counted once', () => {
  const model = new ServiceModel()
  const [reporting, ...others] = speeds(4)
  let nowMs = 0
  for (let i = 0; i < 300; i++, nowMs += 50) {
    const speed = i % 4 === 0 ? reporting! : others[i % 4 - 1]!
    if (speed === reporting) speed.recordReport(200, nowMs)
    const durationMs = speed === reporting ? 160 : 80
    record(model, speed, { ...usual, durationMs }, nowMs)
  }
  expect(reporting!.getFactor(nowMs)).toBeGreaterThan(1.6)
  expect(reporting!.getFactor(nowMs)).toBeLessThan(2.3)
})

// Guards against figures that can't be learned from and stay in all later predictions.
test.each<[string, Partial<ResponseObservation>]>([
  ['reports no running call', { running: 0 }],
  ['takes no time', { durationMs: 0, firstEventMs: 0, isEngine: true, uncachedTokens: 0 }],
  ['sends all events at once', { isEngine: true, firstEventMs: 40, eventCount: 50, eventsMs: 0 }],
  ['breaks off before its first event', { isEngine: true, isComplete: false, durationMs: 0, running: 0 }]
])('an instance that %s for some responses is as usual afterwards', (_, observation) => {
  const { isEngine } = observation
  const [[speed, ...others], model, startMs] = replay({ factors: [1, 1, 1, 1], responses: 80, isEngine })
  let nowMs = startMs
  for (let i = 0; i < 3; i++, nowMs += 100) record(model, speed!, { ...usual, ...observation }, nowMs)
  const factors = [speed!, ...others].map(each => each.getFactor(nowMs))
  for (const factor of factors) expect(factor).toBeCloseTo(1, 5)
  expect(Number.isFinite(model.prefillTokensPerMs)).toBe(true)
})
