import { install } from '@sinonjs/fake-timers'
import { Emulation } from './emulation.js'
import type { EmulationResult, PolicyFactory } from './emulation.js'
import type { EngineProfile } from './engine.js'
import { policies } from './policies.js'
import { makeTrace } from './trace.js'
import type { TracedProgram } from './trace.js'

/// A load to compare policies under.
export interface Scenario {
  readonly engines: number
  readonly programsPerS: number
}

/// By the users' sheets: all engines on a calm and on a busy day, half of them on a calm one.
export const scenarios: Readonly<Record<string, Scenario>> = {
  calm: { engines: 6, programsPerS: 15 },
  busy: { engines: 6, programsPerS: 34 },
  'half the engines': { engines: 3, programsPerS: 24 }
}

const traits: EngineProfile = {
  slots: 32,
  stepMs: 1.21,
  stepMsPerCall: 0.0181,
  stepMsPerKContext: 0.000549,
  prefillTokensPerMs: 299,
  slowness: 1
}
const entries = 4
const forMs = 25_000
const settleMs = 60_000

/// Plays one scenario with one policy on a virtual clock: the same seed gives the same result.
export async function runScenario (
  scenario: Scenario,
  makePolicy: PolicyFactory,
  seed: number
): Promise<EmulationResult> {
  const trace = makeTrace({ seed, forMs, programsPerS: scenario.programsPerS, entries })
  const engines = Array.from({ length: scenario.engines }, () => traits)
  return await onVirtualClock(trace, () => {
    return new Emulation({ engines, entries, trace, makePolicy }).run()
  })
}

async function onVirtualClock (
  trace: readonly TracedProgram[],
  play: () => Promise<EmulationResult>
): Promise<EmulationResult> {
  const clock = install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
  try {
    const result = play()
    await clock.tickAsync(trace[trace.length - 1]!.startMs + settleMs)
    return await result
  } finally {
    clock.uninstall()
  }
}

/// A table: a line for each scenario and policy.
export async function comparePolicies (seed: number): Promise<string> {
  const lines = [`seed ${seed}`.padEnd(40) + 'in aim   late failed  worth']
  for (const [scenarioName, scenario] of Object.entries(scenarios)) {
    for (const [policyName, makePolicy] of Object.entries(policies)) {
      const { inAim, late, failed, weightedGoodput: worth } = await runScenario(scenario, makePolicy, seed)
      const counts = [inAim, late, failed].map(count => String(count).padStart(6)).join(' ')
      lines.push(`${scenarioName.padEnd(18)}${policyName.padEnd(22)}${counts}  ${worth.toFixed(3)}`)
    }
  }
  return lines.join('\n')
}
