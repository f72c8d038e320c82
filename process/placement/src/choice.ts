import type { Call } from '#request/call'
import type { Engine } from '#version/configuration'
import { unitHash } from '#version/configuration'
import { estimateRunning } from '#process/instances'
import type { Instance } from '#process/instances'

/// What a call needs of an instance.
export interface PlacementRequest {
  readonly call: Call
  readonly service: string
  readonly engine: Engine | null
  /// 0 is the most urgent.
  readonly priority: number
  /// Instances that have failed this call already.
  readonly excluded: ReadonlySet<string>
  /// The instance that ran the turn before, where that is known.
  readonly previousInstanceId: string | null
  /// The call goes on with a program that has generated tokens already.
  readonly isContinuing: boolean
  /// How long it may wait for a place before it is refused.
  readonly maxWaitMs: number
  /// On the runtime's monotonic clock.
  readonly deadlineMs: number
}

const prefillTokensPerMs = 299
/// What one more running call costs each call there, by the service's kind.
const engineLoadMs = 6
const serviceLoadMs = 20
const otherZoneMs = 6
/// What an equal choice is worth: programs spread by their hash.
const spreadMs = 4

/// Picks the instance with the least expected time: work that waits or runs
/// there, tokens of the prompt that it has not read, and the way to it.
export function chooseInstance (
  candidates: readonly Instance[],
  need: PlacementRequest,
  zone: string,
  nowMs: number
): Instance | null {
  let best: Instance | null = null
  let bestMs = Infinity
  for (const instance of candidates) {
    const costMs = expectedMs(instance, need, zone, nowMs)
    if (costMs >= bestMs) continue
    best = instance
    bestMs = costMs
  }
  return best
}

function expectedMs (instance: Instance, need: PlacementRequest, zone: string, nowMs: number): number {
  const running = estimateRunning(instance, nowMs)
  const key = need.call.program?.id ?? need.call.id
  const loadMs = running * (need.engine === null ? serviceLoadMs : engineLoadMs)
  const wayMs = instance.description.zone === zone ? 0 : otherZoneMs
  const spread = unitHash(`${key}/${instance.description.id}`) * spreadMs
  return loadMs + wayMs + spread + uncachedTokens(instance, need) / prefillTokensPerMs
}

/// The tokens of the prompt that the instance would have to read.
function uncachedTokens (instance: Instance, need: PlacementRequest): number {
  const { prefix, usage } = need.call
  let total = usage?.promptTokens ?? 0
  if (prefix.length > 0) total = prefix.reduce((sum, part) => sum + part.tokens, 0)
  if (total === 0) return 0
  let cached = 0
  for (const part of prefix) {
    if (!instance.cachedParts.has(part.id)) break
    cached += part.tokens
  }
  if (need.previousInstanceId === instance.description.id) cached = Math.max(cached, total * previousShare)
  return total - cached
}

/// How much of a prompt is usually the conversation so far.
const previousShare = 0.9
