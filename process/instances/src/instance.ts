import type { UpstreamLoad } from '#connection/header'
import type { InstanceClient } from '#connection/upstream'
import type { RequestLimit } from '#process/requestlimit'
import type { InstanceSpeed, ResponseObservation, ServiceModel } from '#process/speed'

/// An upstream instance as described by its entry in the platform's store.
export interface InstanceDescription {
  readonly id: string
  readonly service: string
  /// Host and port.
  readonly address: string
  readonly zone: string
  readonly slots: number
  readonly isReady: boolean
  /// Unix time of its process's start; null if unknown. An instance may start again under the same id.
  readonly startedAtMs: number | null
}

/// A prompt that an instance processes for a call of this process.
export interface PendingPrefill {
  /// Those that the instance has not cached.
  readonly tokens: number
  readonly partIds: ReadonlySet<string>
  /// On the monotonic clock of `performance.now()`.
  readonly startedAtMs: number
}

/// An upstream instance with this process's estimate of its load and health.
export interface Instance {
  description: InstanceDescription
  readonly client: InstanceClient
  /// Calls of this process that are in flight there.
  running: number
  /// Calls of other processes that ran or waited there at its last load report.
  othersRunning: number
  /// Time of that report on the monotonic clock of `performance.now()`.
  loadReportedAtMs: number
  /// Consecutive failures to reach it or to receive data from it.
  failures: number
  /// Until this time the instance is used only if all other candidates are suspected as well.
  suspectUntilMs: number
  /// This process's share of the limit that the instance names in its responses; null for no limit.
  limit: RequestLimit | null
  readonly speed: InstanceSpeed
  /// What is usual in its service; all its instances have the same.
  readonly model: ServiceModel
  /// Ids of the prompt parts that it has cached, the most recently used last. The values have no meaning.
  readonly cachedParts: Map<string, number>
  /// Those of calls of this process that have had no event yet.
  readonly prefills: Set<PendingPrefill>
  /// When it last handled a call about an object, by the object's key; the most recent last.
  readonly handledAtMs: Map<string, number>
  /// It has said in a response that it will stop, and gets no new calls.
  isLeaving: boolean
  isRemoved: boolean
}

const initialSuspicionMs = 300
const maxSuspicionMs = 4000
/// The weight of a load report halves each time this period has passed.
const loadHalfLifeMs = 400
const maxCachedParts = 4000
const maxHandledObjects = 1000
/// An instance that handled an object longer ago is not expected to gain from it.
const recentlyHandledMs = 60_000

/// How many calls of other processes run or wait at an instance of a service of which nothing else is known: the mean
/// of the load reports, in which later ones have more weight. Without late ones it nears 0.
export function estimateMeanOthers (instances: readonly Instance[], nowMs: number): number {
  let weights = 0
  let sum = 0
  let largestWeight = 0
  for (const instance of instances) {
    const weight = getReportWeight(instance, nowMs)
    weights += weight
    sum += weight * instance.othersRunning
    largestWeight = Math.max(largestWeight, weight)
  }
  return weights === 0 ? 0 : largestWeight * sum / weights
}

/// Estimates how many calls of this and other processes run or wait at the instance. As its load report gets older, the
/// estimate nears the mean of its service.
export function estimateRunning (instance: Instance, meanOthers: number, nowMs: number): number {
  return instance.running + meanOthers + (instance.othersRunning - meanOthers) * getReportWeight(instance, nowMs)
}

function getReportWeight ({ loadReportedAtMs }: Instance, nowMs: number): number {
  return 0.5 ** ((nowMs - loadReportedAtMs) / loadHalfLifeMs)
}

/// Records a load report. Calls beyond this process's own are counted as those of other processes.
export function recordLoad (instance: Instance, load: UpstreamLoad, nowMs: number): void {
  instance.othersRunning = Math.max(0, load.running + load.waiting - instance.running)
  instance.loadReportedAtMs = nowMs
  if (load.durationPercent !== undefined) instance.speed.recordReport(load.durationPercent, nowMs)
}

/// Learns from a response how fast the instance is, and what is usual in its service.
export function recordResponse (instance: Instance, observation: ResponseObservation, nowMs: number): void {
  const { model, speed } = instance
  for (const sample of model.observe(observation, speed.getFactor(nowMs))) speed.recordSample(sample, nowMs)
}

/// Marks the instance as suspected and returns for how many milliseconds; they double with each consecutive failure.
export function recordFailure (instance: Instance, nowMs: number): number {
  instance.failures++
  const suspicionMs = Math.min(initialSuspicionMs * 2 ** (instance.failures - 1), maxSuspicionMs)
  instance.suspectUntilMs = nowMs + suspicionMs
  return suspicionMs
}

export function recordSuccess (instance: Instance): void {
  instance.failures = 0
  instance.suspectUntilMs = 0
}

/// Marks prompt parts as cached by the instance and evicts the least recently used ones beyond the limit.
export function recordCachedParts (instance: Instance, partIds: readonly string[]): void {
  for (const id of partIds) setLatest(instance.cachedParts, id, 1, maxCachedParts)
}

/// Records that the instance has handled a call about the object.
export function recordHandledObject (instance: Instance, key: string, nowMs: number): void {
  setLatest(instance.handledAtMs, key, nowMs, maxHandledObjects)
}

export function hasRecentlyHandled ({ handledAtMs }: Instance, key: string, nowMs: number): boolean {
  return nowMs - (handledAtMs.get(key) ?? -Infinity) < recentlyHandledMs
}

/// Sets an entry as the latest one, and evicts the oldest ones beyond the limit.
function setLatest (entries: Map<string, number>, key: string, value: number, maxSize: number): void {
  entries.delete(key)
  entries.set(key, value)
  for (const oldestKey of entries.keys()) {
    if (entries.size <= maxSize) return
    entries.delete(oldestKey)
  }
}
