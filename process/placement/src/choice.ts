import type { Call } from '#request/call'
import type { Engine } from '#version/configuration'
import { unitHash } from '#version/configuration'
import { hasRecentlyHandled } from '#process/instances'
import type { Instance } from '#process/instances'
import { estimatePendingTokens } from './prefill.js'

/// What placement needs to know of a call to choose an instance for it.
export interface PlacementRequest {
  readonly call: Call
  /// Calls of one kind take about as long as one another: the name of the route.
  readonly kind: string
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
  const nowMs = performance.now()
  for (const instance of candidates) {
    const latencyMs = estimateLatencyMs(instance, request, zone, estimateLoad(instance), nowMs)
    if (latencyMs >= bestLatencyMs) continue
    best = instance
    bestLatencyMs = latencyMs
  }
  return best
}

function estimateLatencyMs (
  instance: Instance, request: PlacementRequest, zone: string, running: number, nowMs: number
): number {
  const speedFactor = instance.speed.getFactor(nowMs)
  const loadMs = estimateDelayMs(running, request) * speedFactor
  const networkDelayMs = instance.description.zone === zone ? 0 : crossZoneDelayMs
  const prefillTokens = estimatePendingTokens(instance, nowMs) + countTokensToPrefill(instance, request)
  // Not scaled, nor is the rest of the call: calls would leave the instance that has their prefix whenever the learned
  // factors change a little.
  const prefillMs = prefillTokens / instance.model.prefillTokensPerMs
  const costMs = loadMs + networkDelayMs + prefillMs + computeHashOffsetMs(instance, request)
  return costMs - estimateAffinityGainMs(instance, request, nowMs)
}

/// Spreads calls over instances: those about an object by the object, others by their program.
function computeHashOffsetMs ({ description }: Instance, { affinityKey, call }: PlacementRequest): number {
  const key = affinityKey ?? call.program?.id ?? call.id
  return unitHash(`${key}/${description.id}`) * (affinityKey === null ? maxHashOffsetMs : maxObjectOffsetMs)
}

function estimateAffinityGainMs (
  instance: Instance, { affinityKey, targetLatencyMs }: PlacementRequest, nowMs: number
): number {
  if (affinityKey === null || !hasRecentlyHandled(instance, affinityKey, nowMs)) return 0
  return Math.min(maxAffinityGainMs, targetLatencyMs * affinityGainShare)
}

/// How much longer a call takes for the calls that run on the instance.
export function estimateDelayMs (running: number, { engine }: PlacementRequest): number {
  return running * (engine === null ? serviceCallDelayMs : engineCallDelayMs)
}

/// Prompt tokens that the instance would have to process because it has not cached them.
function countUncachedTokens (
  instance: Instance,
  request: Pick<PlacementRequest, 'call' | 'previousInstanceId'>
): number {
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

/// Prompt tokens that are neither cached at the instance nor being processed there for another call of this process.
/// The wait for that call contains the latter.
export function countTokensToPrefill (instance: Instance, request: PlacementRequest): number {
  const uncached = countUncachedTokens(instance, request)
  if (instance.prefills.size === 0) return uncached
  let inProgress = 0
  for (const { id, tokens } of request.call.prefix) {
    if (instance.cachedParts.has(id)) continue
    if (![...instance.prefills].some(({ partIds }) => partIds.has(id))) break
    inProgress += tokens
  }
  return Math.max(0, uncached - inProgress)
}

/// The same as `countUncachedTokens`, if it is known well enough to learn the engine's speed from it, else null: an
/// instance of which no part is known to be cached may have cached all of them for other entries.
export function findUncachedTokens (instance: Instance, call: Call): number | null {
  const isKnown = call.prefix.some(part => instance.cachedParts.has(part.id))
  return isKnown ? countUncachedTokens(instance, { call, previousInstanceId: null }) : null
}

/// Share of a prompt that the history usually makes up. The instance that ran the previous turn has it cached.
const historyShare = 0.9
