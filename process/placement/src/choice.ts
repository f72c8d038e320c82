import type { Call } from '#request/call'
import type { Engine } from '#version/configuration'
import { unitHash } from '#version/configuration'
import { hasRecentlyHandled } from '#process/instances'
import type { Instance } from '#process/instances'

/// What placement needs to know of a call to choose an instance for it.
export interface PlacementRequest {
  readonly call: Call
  readonly service: string
  /// Name of the workspace that the call counts for; null without one.
  readonly workspace: string | null
  readonly engine: Engine | null
  /// 0 is the most urgent.
  readonly priority: number
  /// Ids of instances that earlier attempts of this call used.
  readonly excluded: ReadonlySet<string>
  /// The instance that ran the previous turn; null if there is none or it is unknown.
  readonly previousInstanceId: string | null
  /// False for a program's first turn until it has been sent to an instance, true for all other calls. Entries
  /// recognize the first turn only of programs with a token budget; for others it is always true.
  readonly isContinuing: boolean
  /// Within this time of its start the call should have its first data.
  readonly targetLatencyMs: number
  /// The object that the call concerns, if an instance that has recently handled it performs faster; else null.
  readonly affinityKey: string | null
  /// How long the call may wait for a lease before it is refused.
  readonly maxWaitMs: number
  /// On the monotonic clock of `performance.now()`.
  readonly deadlineMs: number
  /// What the instance must hold of the request.
  readonly bodyBytes?: number
}

const prefillTokensPerMs = 299
/// Expected delay per call that runs on the instance, for services with a model engine and for all others.
const engineCallDelayMs = 6
const serviceCallDelayMs = 20
const crossZoneDelayMs = 6
/// Upper bound of the hash offset, which spreads programs over instances that are otherwise equally suitable.
const maxHashOffsetMs = 4
/// The same for calls that concern an object: entries that know no instance that has handled it should choose the same.
const maxObjectOffsetMs = 16
/// What an instance that has recently handled the object is expected to gain, as a share of the latency target.
const affinityGainShare = 0.1
const maxAffinityGainMs = 50

/// Chooses the instance with the lowest estimated latency, given the calls that
/// run or wait there, the prompt tokens that it has not cached and the network
/// delay. Returns null if there are no candidates.
export function chooseInstance (
  candidates: readonly Instance[],
  request: PlacementRequest,
  zone: string,
  estimateLoad: (instance: Instance) => number
): Instance | null {
  let best: Instance | null = null
  let bestLatencyMs = Infinity
  for (const instance of candidates) {
    const latencyMs = estimateLatencyMs(instance, request, zone, estimateLoad(instance))
    if (latencyMs >= bestLatencyMs) continue
    best = instance
    bestLatencyMs = latencyMs
  }
  return best
}

function estimateLatencyMs (instance: Instance, request: PlacementRequest, zone: string, running: number): number {
  const loadMs = estimateDelayMs(running, request)
  const networkDelayMs = instance.description.zone === zone ? 0 : crossZoneDelayMs
  const uncachedMs = countUncachedTokens(instance, request) / prefillTokensPerMs
  const costMs = loadMs + networkDelayMs + uncachedMs + computeHashOffsetMs(instance, request)
  return costMs - estimateAffinityGainMs(instance, request)
}

/// Spreads calls over instances: those about an object by the object, others by their program.
function computeHashOffsetMs ({ description }: Instance, { affinityKey, call }: PlacementRequest): number {
  const key = affinityKey ?? call.program?.id ?? call.id
  return unitHash(`${key}/${description.id}`) * (affinityKey === null ? maxHashOffsetMs : maxObjectOffsetMs)
}

function estimateAffinityGainMs (instance: Instance, { affinityKey, targetLatencyMs }: PlacementRequest): number {
  if (affinityKey === null || !hasRecentlyHandled(instance, affinityKey, performance.now())) return 0
  return Math.min(maxAffinityGainMs, targetLatencyMs * affinityGainShare)
}

/// How much longer a call takes for the calls that run on the instance.
export function estimateDelayMs (running: number, { engine }: PlacementRequest): number {
  return running * (engine === null ? serviceCallDelayMs : engineCallDelayMs)
}

/// Prompt tokens that the instance would have to process because it has not cached them.
function countUncachedTokens (instance: Instance, request: PlacementRequest): number {
  const { prefix, usage } = request.call
  let total = usage?.promptTokens ?? 0
  if (prefix.length > 0) total = prefix.reduce((sum, part) => sum + part.tokens, 0)
  if (total === 0) return 0
  let cached = 0
  for (const part of prefix) {
    if (!instance.cachedParts.has(part.id)) break
    cached += part.tokens
  }
  if (request.previousInstanceId === instance.description.id) cached = Math.max(cached, total * historyShare)
  return total - cached
}

/// Share of a prompt that the history usually makes up. The instance that ran the previous turn has it cached.
const historyShare = 0.9
