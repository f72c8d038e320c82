import { sleep } from '#process/clock'
import type { Call } from '#request/call'
import { InstanceRegistry, recordCachedParts, recordLoad } from '#process/instances'
import type { Instance } from '#process/instances'
import { noopLog } from '#process/log'
import type { InstanceLease, PlacementRequest } from '#process/placement'
import { createCall } from '#standin/call'
import { EmulatedEngine } from './engine.js'
import type { EngineProfile } from './engine.js'
import type { TracedProgram, TracedTurn } from './trace.js'

/// Gives a call its place, or refuses it. `Placement` is one; so are the baselines.
export interface PlacementPolicy {
  acquire (need: PlacementRequest, signal: AbortSignal): Promise<InstanceLease>
}

/// Makes an entry's policy over the instances that it knows.
export type PolicyFactory = (registry: InstanceRegistry) => PlacementPolicy

export interface EmulationOptions {
  readonly engines: readonly EngineProfile[]
  readonly entries: number
  readonly trace: readonly TracedProgram[]
  readonly makePolicy: PolicyFactory
}

/// What became of the programs of a trace.
export interface EmulationResult {
  readonly inAim: number
  readonly late: number
  readonly failed: number
  /// Worth of what ended in its aim, and a share of what ended late, against all.
  readonly weightedGoodput: number
}

const service = 'models'
const sharedTokens = 12_600
const patienceMs = 4000
const targetLatencyMs = 200
const aimFactor = 1.8
/// What a program that ends late still earns, and until when.
const lateShare = 0.1
const latestFactor = 2
const turnTries = 3
const retryAfterMs = 250
const wayMs = 25

/// Plays a trace against emulated engines, each entry with a policy of its own
/// and only its own calls and the engines' answers to go by.
export class Emulation {
  private readonly engines: ReadonlyMap<string, EmulatedEngine>
  private readonly entries: readonly { readonly policy: PlacementPolicy }[]

  constructor (private readonly options: EmulationOptions) {
    this.engines = new Map(options.engines.map((traits, i) => [`${service}-${i}`, new EmulatedEngine(traits)]))
    this.entries = Array.from({ length: options.entries }, () => ({ policy: options.makePolicy(this.newRegistry()) }))
  }

  async run (): Promise<EmulationResult> {
    const ends = await Promise.all(this.options.trace.map(program => this.playProgram(program)))
    const counts = { inAim: 0, late: 0, failed: 0 }
    let earned = 0
    let owed = 0
    for (const { outcome, worth } of ends) {
      counts[outcome]++
      owed += worth
      earned += outcome === 'inAim' ? worth : outcome === 'late' ? worth * lateShare : 0
    }
    return { ...counts, weightedGoodput: earned / owed }
  }

  private async playProgram (program: TracedProgram): Promise<{ outcome: 'inAim' | 'late' | 'failed', worth: number }> {
    await sleep(program.startMs)
    const startedAtMs = performance.now()
    const aimMs = this.idleMs(program) * aimFactor + targetLatencyMs
    const before: string[] = []
    for (const [i, turn] of program.turns.entries()) {
      if (!await this.playTurn(program, turn, i, before)) return { outcome: 'failed', worth: program.worth }
      before.push(`${program.id}/${i}`)
      await sleep(turn.thinkMs)
    }
    const tookMs = performance.now() - startedAtMs
    const outcome = tookMs <= aimMs ? 'inAim' : tookMs <= aimMs * latestFactor ? 'late' : 'failed'
    return { outcome, worth: program.worth }
  }

  /// Tries a turn a few times; false where it failed for good.
  private async playTurn (
    program: TracedProgram,
    turn: TracedTurn,
    index: number,
    before: readonly string[]
  ): Promise<boolean> {
    for (let tries = 0; tries < turnTries; tries++) {
      if (tries > 0) await sleep(retryAfterMs)
      const call = callOf(program, turn, index, before)
      const place = await this.placeOf(program, call, index).catch(() => null)
      if (place === null) continue
      const isWhole = await this.runAt(place, call, turn)
      place.release()
      if (isWhole) return true
    }
    return false
  }

  private placeOf (program: TracedProgram, call: Call, index: number): Promise<InstanceLease> {
    const isContinuing = index > 0
    return this.entries[program.entry]!.policy.acquire({
      call,
      service,
      engine: { slots: 0, kvCapacityTokens: 0, tokensPerEvent: 1 },
      priority: program.priority,
      excluded: new Set(),
      previousInstanceId: null,
      isContinuing,
      maxWaitMs: isContinuing ? patienceMs * 0.25 : targetLatencyMs * 0.1,
      deadlineMs: performance.now() + patienceMs
    }, new AbortController().signal)
  }

  private async runAt ({ instance }: InstanceLease, call: Call, turn: TracedTurn): Promise<boolean> {
    const sentAtMs = performance.now()
    await sleep(wayMs)
    await new Promise<void>(resolve => this.engines.get(instance.description.id)!.run({
      prefix: call.prefix,
      outputTokens: turn.outputTokens,
      onFirstToken: (running, waiting) => {
        recordLoad(instance, { running, waiting, slots: instance.description.slots }, performance.now())
      },
      onEnd: resolve
    }))
    recordCachedParts(instance, call.prefix.map(part => part.id))
    return performance.now() - sentAtMs <= patienceMs
  }

  private idleMs (program: TracedProgram): number {
    const { stepMs, stepMsPerCall, prefillTokensPerMs } = this.options.engines[0]!
    return program.turns.reduce((sum, turn) => {
      const runMs = turn.inputTokens / prefillTokensPerMs + turn.outputTokens * (stepMs + stepMsPerCall)
      return sum + wayMs + runMs + turn.thinkMs
    }, 0)
  }

  private newRegistry (): InstanceRegistry {
    const registry = new InstanceRegistry({
      parseInstance: object => object.spec as Instance['description'],
      connect: () => ({ close: () => {} }) as unknown as Instance['client'],
      onChange: () => {}
    }, noopLog)
    const objects = this.options.engines.map(({ slots }, i) => {
      const id = `${service}-${i}`
      return { name: id, revision: 1, status: null, spec: { id, service, address: `10.0.0.${i + 1}:80`, zone: 'z', slots, isReady: true } }
    })
    registry.onListing({ objects, revision: 1 }, false)
    return registry
  }
}

function callOf (program: TracedProgram, turn: TracedTurn, index: number, before: readonly string[]): Call {
  const own = [...before, `${program.id}/${index}`].map(id => ({ id, tokens: turn.inputTokens }))
  return createCall(`${program.id}/${index}`, {
    callerTimeoutMs: patienceMs,
    program: { id: program.id, sessionId: program.id, remainingMs: patienceMs, tokenBudget: null },
    prefix: [{ id: program.sharedPart, tokens: sharedTokens }, ...own]
  })
}
