import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { Fleet, createWorkspace, tolerance } from './fleet.js'
import { countTolerated } from '../src/tolerance.js'

const entryCount = 5
const stepMs = 20
const runs = Number(process.env.QUOTA_RUNS ?? 40)

beforeEach(() => { vi.useFakeTimers() })

afterEach(() => { vi.useRealTimers() })

/// What happens to one entry, at the same time as the loss of some datagrams anywhere.
const failures = {
  killed: { begin: (fleet: Fleet, index: number) => fleet.kill(fleet.entries[index]!), end: () => {} },
  restarted: {
    begin: (fleet: Fleet, index: number) => fleet.kill(fleet.entries[index]!),
    end: (fleet: Fleet, index: number) => fleet.start(fleet.entries[index]!)
  },
  cutOff: {
    begin: (fleet: Fleet, index: number) => { fleet.entries[index]!.isCutOff = true },
    end: (fleet: Fleet, index: number) => { fleet.entries[index]!.isCutOff = false }
  },
  added: {
    begin: (fleet: Fleet) => { fleet.list([fleet.create()]) },
    end: (fleet: Fleet) => fleet.list()
  }
} as const

const scenario = fc.record({
  ratePerS: fc.oneof(fc.integer({ min: 1, max: 10 }), fc.integer({ min: 10, max: 150 })),
  burstPercent: fc.oneof(fc.constant(100), fc.integer({ min: 0, max: 150 })),
  /// Of the rate of the quota.
  loadPercent: fc.oneof(fc.integer({ min: 30, max: 120 }), fc.integer({ min: 150, max: 800 })),
  continuingPercent: fc.integer({ min: 0, max: 100 }),
  refusedShare: fc.constantFrom(0, 0.3),
  lossShare: fc.constantFrom(0, 0.05, 0.15),
  failure: fc.constantFrom(...Object.keys(failures) as (keyof typeof failures)[]),
  /// The rank of the entry that fails, as coordinator.
  rank: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: entryCount - 1 })),
  /// From the begin of the load, which finds full buckets.
  beginMs: fc.integer({ min: 0, max: 1500 }),
  lengthMs: fc.oneof(fc.integer({ min: 50, max: 300 }), fc.integer({ min: 300, max: 4000 })),
  seed: fc.integer()
})

/// A linear congruential generator of numbers in [0, 1).
function createDraw (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return state / 0x100000000
  }
}

// Guards against credit that is granted twice: by two coordinators at a time, for a request and its retry, or again
// after a restart.
test('no window has more calls than the quota and its tolerance, whichever entry fails', { timeout: 400_000 }, async () => {
  await fc.assert(fc.asyncProperty(scenario, async options => {
    const quota = { ratePerS: options.ratePerS, burst: options.burstPercent / 100 * options.ratePerS }
    const draw = createDraw(options.seed)
    const fleet = new Fleet(entryCount, [createWorkspace(quota)], draw)
    fleet.lossShare = options.lossShare
    const index = fleet.entries.indexOf(fleet.rank()[options.rank]!)
    const { begin, end } = failures[options.failure]
    const endMs = options.beginMs + options.lengthMs
    const callShare = quota.ratePerS * options.loadPercent / 100 * stepMs / 1000
    await vi.advanceTimersByTimeAsync(2000)
    for (let timeMs = 0; timeMs < endMs + 3000; timeMs += stepMs) {
      if (timeMs <= options.beginMs && options.beginMs < timeMs + stepMs) begin(fleet, index)
      if (timeMs <= endMs && endMs < timeMs + stepMs) end(fleet, index)
      for (let calls = callShare; calls > draw(); calls--) {
        const entry = fleet.entries[Math.floor(draw() * fleet.entries.length)] ?? fleet.entries[0]!
        if (!entry.isRunning) continue
        fleet.call(entry, {
          isContinuing: draw() * 100 < options.continuingPercent,
          isRefusedLater: draw() < options.refusedShare
        })
      }
      await vi.advanceTimersByTimeAsync(stepMs)
    }
    fleet.stop()
    await vi.advanceTimersByTimeAsync(2000)
    expect(fleet.countExcess(quota)).toBeLessThanOrEqual(countTolerated(quota, tolerance))
  }), { numRuns: runs })
})
