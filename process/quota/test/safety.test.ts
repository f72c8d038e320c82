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
  ratePerS: fc.integer({ min: 1, max: 60 }),
  burstS: fc.double({ min: 0, max: 1.5, noNaN: true }),
  /// Of the quota; the load of the bursts.
  load: fc.double({ min: 0.3, max: 8, noNaN: true }),
  continuingShare: fc.double({ min: 0, max: 1, noNaN: true }),
  refusedShare: fc.constantFrom(0, 0.3),
  lossShare: fc.constantFrom(0, 0.05, 0.15),
  failure: fc.constantFrom(...Object.keys(failures) as (keyof typeof failures)[]),
  /// The rank of the entry that fails, as coordinator.
  rank: fc.integer({ min: 0, max: entryCount - 1 }),
  beginMs: fc.integer({ min: 1500, max: 4000 }),
  lengthMs: fc.integer({ min: 50, max: 4000 }),
  seed: fc.integer()
})

// Guards against credit that is granted twice: by two coordinators at a time, for a request and its retry, or again
// after a restart.
test('no window has more calls than the quota and its tolerance, whichever entry fails', { timeout: 120_000 }, async () => {
  await fc.assert(fc.asyncProperty(scenario, async options => {
    const quota = { ratePerS: options.ratePerS, burst: options.burstS * options.ratePerS }
    const random = fc.sample(fc.noBias(fc.double({ min: 0, max: 1, noNaN: true })), { seed: options.seed, numRuns: 4096 })
    let drawn = 0
    const draw = (): number => random[drawn++ % random.length]!
    const fleet = new Fleet(entryCount, [createWorkspace(quota)], draw)
    fleet.lossShare = options.lossShare
    const index = fleet.entries.indexOf(fleet.rank()[options.rank]!)
    const { begin, end } = failures[options.failure]
    const endMs = options.beginMs + options.lengthMs
    const callShare = quota.ratePerS * options.load * stepMs / 1000
    for (let timeMs = 0; timeMs < endMs + 3000; timeMs += stepMs) {
      if (timeMs <= options.beginMs && options.beginMs < timeMs + stepMs) begin(fleet, index)
      if (timeMs <= endMs && endMs < timeMs + stepMs) end(fleet, index)
      for (let calls = callShare; calls > draw(); calls--) {
        const entry = fleet.entries[Math.floor(draw() * fleet.entries.length)] ?? fleet.entries[0]!
        if (!entry.isRunning) continue
        fleet.call(entry, {
          isContinuing: draw() < options.continuingShare,
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
