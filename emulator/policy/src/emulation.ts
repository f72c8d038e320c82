import { sleep } from '#process/clock'
import { RefusedError } from '#request/call'
import type { Call } from '#request/call'
import { InstanceRegistry, recordCachedParts, recordLoad, recordResponse } from '#process/instances'
import type { Instance } from '#process/instances'
import { noopLog } from '#process/log'
import { findUncachedTokens } from '#process/placement'
import type { InstanceLease, PlacementRequest } from '#process/placement'
import { gossipTickMs } from '#process/revisions'
import { createCall } from '#standin/call'
import { listObjects } from '#standin/store'
import { EmulatedEngine } from './engine.js'
import type { EngineProfile } from './engine.js'
import type { TracedProgram, TracedTurn } from './trace.js'

/// Leases an instance for a call, or rejects. Implemented by `Placement` and by the baselines.
export interface PlacementPolicy {
  acquire (request: PlacementRequest, signal: AbortSignal): Promise<InstanceLease>
}

/// Creates the policy of one entry over that entry's registry of instances.
export type PolicyFactory = (registry: InstanceRegistry) => PlacementPolicy

/// A time in which an engine is slower than usual by a factor.
export interface Slowdown {
  /// Index of the engine.
  readonly engine: number
  readonly startMs: number
  readonly endMs: number
  readonly factor: number
}

export interface EmulationOptions {
  readonly engines: readonly EngineProfile[]
  readonly entries: number
  readonly trace: readonly TracedProgram[]
  readonly slowdowns?: readonly Slowdown[]
  readonly createPolicy: PolicyFactory
}

/// How many programs of a trace ended in time, late or failed.
export interface EmulationResult {
  /// Programs that ended within their latency target.
  readonly inAim: number
  /// Programs that missed their latency target but ended within `lateCutoffFactor` times it.
  readonly late: number
  /// Programs with a turn that failed, and programs that ended even later.
  readonly failed: number
  /// Value of the programs that ended in time, plus a share of the value of late ones, divided by the value of all.
  readonly weightedGoodput: number
}

interface StartedProgram {
  readonly program: TracedProgram
  readonly previousTurnIds: readonly string[]
  /// When it should be completed, on the monotonic clock of `performance.now()`.
  readonly dueMs: number
}

interface EmulatedEntry {
  readonly registry: InstanceRegistry
  readonly policy: PlacementPolicy
}

const service = 'models'
const sharedPromptTokens = 12_600
const callerTimeoutMs = 4000
const targetLatencyMs = 200
/// The latency target of a program is its unloaded duration times this, plus `targetLatencyMs`.
const targetFactor = 1.8
/// A program that misses its target earns this share of its value, up to `lateCutoffFactor` times the target.
const lateValueShare = 0.1
const lateCutoffFactor = 2
const maxTurnAttempts = 3
const retryDelayMs = 250
/// A caller honours the time that a refusal names, up to this share of its timeout.
const maxRetryAfterShare = 1 / 3
const networkDelayMs = 25

/// Runs a trace against emulated engines. Each entry has its own policy, which sees only
/// this entry's calls and the load that the engines report in their responses.
export class Emulation {
  private readonly engines: ReadonlyMap<string, EmulatedEngine>
  private readonly entries: readonly EmulatedEntry[]

  constructor (private readonly options: EmulationOptions) {
    this.engines = new Map(options.engines.map((profile, i) => [`${service}-${i}`, new EmulatedEngine(profile)]))
    this.entries = Array.from({ length: options.entries }, () => {
      const registry = this.createRegistry()
      return { registry, policy: options.createPolicy(registry) }
    })
  }

  async run (): Promise<EmulationResult> {
    const gossipTimer = setInterval(() => this.shareSpeeds(), gossipTickMs)
    for (const slowdown of this.options.slowdowns ?? []) this.scheduleSlowdown(slowdown)
    const programResults = await Promise.all(this.options.trace.map(program => this.runProgram(program)))
    clearInterval(gossipTimer)
    const counts = { inAim: 0, late: 0, failed: 0 }
    let earnedValue = 0
    let totalValue = 0
    for (const { outcome, value } of programResults) {
      counts[outcome]++
      totalValue += value
      earnedValue += outcome === 'inAim' ? value : outcome === 'late' ? value * lateValueShare : 0
    }
    return { ...counts, weightedGoodput: earnedValue / totalValue }
  }

  /// Each entry sends what it has observed to the next ones, at distances that change with time.
  private shareSpeeds (): void {
    const { entries } = this
    const round = Math.floor(performance.now() / gossipTickMs)
    for (const [i, { registry }] of entries.entries()) {
      const news = registry.takeSpeedNews()
      const distances = new Set([1, 2, 3, 1 + (round + i) % Math.max(1, entries.length - 1)])
      for (const distance of distances) {
        const peer = entries[(i + distance) % entries.length]!
        if (peer.registry !== registry) peer.registry.addSpeedNews(news)
      }
    }
  }

  private scheduleSlowdown ({ engine, startMs, endMs, factor }: Slowdown): void {
    const slowed = this.engines.get(`${service}-${engine}`)!
    setTimeout(() => { slowed.temporarySlowdown = factor }, startMs)
    setTimeout(() => { slowed.temporarySlowdown = 1 }, endMs)
  }

  private async runProgram (program: TracedProgram): Promise<{ outcome: 'inAim' | 'late' | 'failed', value: number }> {
    await sleep(program.startMs)
    const startedAtMs = performance.now()
    const targetMs = this.estimateUnloadedMs(program) * targetFactor + targetLatencyMs
    const previousTurnIds: string[] = []
    for (const [i, turn] of program.turns.entries()) {
      const started = { program, previousTurnIds, dueMs: startedAtMs + targetMs }
      if (!await this.runTurn(started, turn, i)) return { outcome: 'failed', value: program.value }
      previousTurnIds.push(`${program.id}/${i}`)
      await sleep(turn.thinkMs)
    }
    const elapsedMs = performance.now() - startedAtMs
    const outcome = elapsedMs <= targetMs ? 'inAim' : elapsedMs <= targetMs * lateCutoffFactor ? 'late' : 'failed'
    return { outcome, value: program.value }
  }

  /// Returns false if all attempts at the turn failed.
  private async runTurn (started: StartedProgram, turn: TracedTurn, index: number): Promise<boolean> {
    let delayMs = 0
    for (let attempts = 0; attempts < maxTurnAttempts; attempts++) {
      await sleep(delayMs)
      delayMs = retryDelayMs
      const call = createTurnCall(started, index)
      const lease = await this.acquireLease(started.program, call, index).catch(toRefusal)
      if (lease instanceof RefusedError) {
        delayMs = Math.max(retryDelayMs, Math.min(lease.retryAfterMs, callerTimeoutMs * maxRetryAfterShare))
        continue
      }
      const isWithinTimeout = await this.execute(lease, call, turn)
      lease.release()
      if (isWithinTimeout) return true
    }
    return false
  }

  private acquireLease (program: TracedProgram, call: Call, index: number): Promise<InstanceLease> {
    const isContinuing = index > 0
    return this.entries[program.entry]!.policy.acquire({
      call,
      kind: service,
      service,
      engine: { slots: 0, kvCapacityTokens: 0, tokensPerEvent: 1 },
      priority: program.priority,
      targetLatencyMs,
      excluded: new Set(),
      workspace: null,
      affinityKey: null,
      previousInstanceId: null,
      isContinuing,
      maxWaitMs: isContinuing ? callerTimeoutMs * 0.25 : targetLatencyMs * 0.1,
      deadlineMs: performance.now() + callerTimeoutMs
    }, new AbortController().signal)
  }

  /// Returns whether the call ended within the caller's timeout.
  private async execute ({ instance, endPrefill }: InstanceLease, call: Call, turn: TracedTurn): Promise<boolean> {
    const sentAtMs = performance.now()
    const uncachedTokens = findUncachedTokens(instance, call)
    let firstEventAtMs = 0
    let runningCalls = 0
    await sleep(networkDelayMs)
    await new Promise<void>(resolve => this.engines.get(instance.description.id)!.run({
      prefix: call.prefix,
      outputTokens: turn.outputTokens,
      onFirstToken: (running, waiting) => {
        firstEventAtMs = performance.now()
        endPrefill()
        runningCalls = running + waiting
        recordLoad(instance, { running, waiting, slots: instance.description.slots }, performance.now())
      },
      onEnd: resolve
    }))
    recordCachedParts(instance, call.prefix.map(part => part.id))
    const nowMs = performance.now()
    recordResponse(instance, {
      kind: service,
      isEngine: true,
      isComplete: true,
      durationMs: nowMs - sentAtMs,
      running: runningCalls,
      firstEventMs: firstEventAtMs - sentAtMs,
      eventsMs: nowMs - firstEventAtMs,
      eventCount: turn.outputTokens,
      uncachedTokens
    }, nowMs)
    return nowMs - sentAtMs <= callerTimeoutMs
  }

  /// Estimates the duration of a program on engines that run nothing else.
  private estimateUnloadedMs (program: TracedProgram): number {
    const { stepMs, stepMsPerCall, prefillTokensPerMs } = this.options.engines[0]!
    return program.turns.reduce((sum, turn) => {
      const runMs = turn.inputTokens / prefillTokensPerMs + turn.outputTokens * (stepMs + stepMsPerCall)
      return sum + networkDelayMs + runMs + turn.thinkMs
    }, 0)
  }

  private createRegistry (): InstanceRegistry {
    const registry = new InstanceRegistry({
      parseInstance: object => object.spec as Instance['description'],
      connect: () => ({ close: () => {} }) as unknown as Instance['client'],
      onChange: () => {}
    }, noopLog)
    const objects = this.options.engines.map(({ slots }, i) => {
      const id = `${service}-${i}`
      return { name: id, revision: 1, status: null, spec: { id, service, address: `10.0.0.${i + 1}:80`, zone: 'z', slots, isReady: true } }
    })
    listObjects(registry, { objects, revision: 1 }, false)
    return registry
  }
}

function toRefusal (error: unknown): RefusedError {
  if (error instanceof RefusedError) return error
  throw error
}

function createTurnCall ({ program, previousTurnIds, dueMs }: StartedProgram, index: number): Call {
  const conversation = [...previousTurnIds, `${program.id}/${index}`]
    .map((id, i) => ({ id, tokens: program.turns[i]!.inputTokens }))
  return createCall(`${program.id}/${index}`, {
    callerTimeoutMs,
    program: {
      id: program.id,
      sessionId: program.id,
      remainingMs: Math.max(0, dueMs - performance.now()),
      tokenBudget: null
    },
    prefix: [{ id: program.sharedPromptId, tokens: sharedPromptTokens }, ...conversation]
  })
}
