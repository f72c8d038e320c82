import { install } from '@sinonjs/fake-timers'
import { Emulation } from './emulation.js'
import type { EmulationResult, PolicyFactory, Slowdown } from './emulation.js'
import type { EngineProfile } from './engine.js'
import { policies } from './policies.js'
import { createTrace } from './trace.js'
import type { TracedProgram } from './trace.js'

/// A load under which policies are compared.
export interface Scenario {
  readonly engines: number
  /// Of each engine.
  readonly slots: number
  readonly entries: number
  readonly programsPerS: number
  /// How much longer work takes at the engines than usual, in turn; 1 for all if absent.
  readonly slowdownFactors?: readonly number[]
  readonly slowdowns?: readonly Slowdown[]
  readonly longPromptShare?: number
  readonly prefillTokensPerMs?: number
}

const unevenFactors = [1 / 1.2, 1 / 0.55, 1, 1 / 0.8]

/// From the users' requirements: all engines on a calm and on a busy day, half of the engines at a load in between, and
/// the larger sites, where an entry seldom hears of an engine.
export const scenarios: Readonly<Record<string, Scenario>> = {
  calm: { engines: 6, slots: 32, entries: 4, programsPerS: 15 },
  busy: { engines: 6, slots: 32, entries: 4, programsPerS: 34 },
  'half the engines': { engines: 3, slots: 32, entries: 4, programsPerS: 24 },
  'large, calm': { engines: 29, slots: 12, entries: 19, programsPerS: 70 },
  'large, busy': { engines: 29, slots: 12, entries: 19, programsPerS: 110 },
  'large, overloaded': { engines: 29, slots: 12, entries: 19, programsPerS: 150 },
  'uneven speeds': { engines: 8, slots: 24, entries: 8, programsPerS: 28, slowdownFactors: unevenFactors },
  'uneven, large': { engines: 28, slots: 8, entries: 24, programsPerS: 55, slowdownFactors: unevenFactors },
  'slow for seconds': {
    engines: 8,
    slots: 24,
    entries: 8,
    programsPerS: 28,
    slowdowns: [
      { engine: 2, startMs: 5000, endMs: 11_000, factor: 7.5 },
      { engine: 5, startMs: 13_000, endMs: 18_000, factor: 7.5 }
    ]
  },
  'long and short': {
    engines: 8,
    slots: 24,
    entries: 8,
    programsPerS: 18,
    longPromptShare: 0.2,
    prefillTokensPerMs: 145
  }
}

const engineProfile: Omit<EngineProfile, 'slots'> = {
  stepMs: 1.21,
  stepMsPerCall: 0.0181,
  stepMsPerKContext: 0.000549,
  prefillTokensPerMs: 299,
  slowdownFactor: 1
}
const traceDurationMs = 25_000
const drainMs = 60_000

/// Runs one scenario with one policy on a virtual clock. The same seed gives the same result.
export async function runScenario (
  scenario: Scenario,
  createPolicy: PolicyFactory,
  seed: number
): Promise<EmulationResult> {
  const { entries, slots, programsPerS, longPromptShare, slowdowns } = scenario
  const { slowdownFactors = [1], prefillTokensPerMs = engineProfile.prefillTokensPerMs } = scenario
  const trace = createTrace({ seed, durationMs: traceDurationMs, programsPerS, entries, longPromptShare })
  const engines = Array.from({ length: scenario.engines }, (_, i) => {
    const slowdownFactor = slowdownFactors[i % slowdownFactors.length]!
    return { ...engineProfile, slots, prefillTokensPerMs, slowdownFactor }
  })
  return await runOnVirtualClock(trace, () => {
    return new Emulation({ engines, entries, trace, createPolicy, slowdowns }).run()
  })
}

async function runOnVirtualClock (
  trace: readonly TracedProgram[],
  run: () => Promise<EmulationResult>
): Promise<EmulationResult> {
  const clock = install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
  try {
    const result = run()
    await clock.tickAsync(trace[trace.length - 1]!.startMs + drainMs)
    return await result
  } finally {
    clock.uninstall()
  }
}

/// Runs every scenario whose name contains `selection` with every policy, and formats the results as a table, one line
/// per pair.
export async function comparePolicies (seed: number, selection: string | null = null): Promise<string> {
  const lines = [`seed ${seed}`.padEnd(40) + 'timely   late failed  weighted goodput']
  for (const [scenarioName, scenario] of Object.entries(scenarios)) {
    if (selection !== null && !scenarioName.includes(selection)) continue
    for (const [policyName, createPolicy] of Object.entries(policies)) {
      const { inAim, late, failed, weightedGoodput } = await runScenario(scenario, createPolicy, seed)
      const counts = [inAim, late, failed].map(count => String(count).padStart(6)).join(' ')
      lines.push(`${scenarioName.padEnd(18)}${policyName.padEnd(22)}${counts}  ${weightedGoodput.toFixed(3)}`)
    }
  }
  return lines.join('\n')
}
