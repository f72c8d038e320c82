import type { UpstreamLoad } from '#connection/header'
import type { InstanceClient } from '#connection/upstream'

/// An upstream instance as the platform's list describes it.
export interface InstanceDescription {
  readonly id: string
  readonly service: string
  readonly address: string
  readonly zone: string
  readonly slots: number
  readonly isReady: boolean
}

/// An upstream instance, with what this process believes of its load.
export interface Instance {
  description: InstanceDescription
  readonly client: InstanceClient
  /// Calls of this process that are under way there.
  running: number
  /// What others seem to have there, when that was learnt, and at which own load.
  othersRunning: number
  loadReportedAtMs: number
  /// Failures to reach it in a row.
  failures: number
  /// No calls go there before this time unless there is no other choice.
  suspectUntilMs: number
  /// Parts of prompts that it has read, the latest last.
  readonly cachedParts: Map<string, number>
  isRemoved: boolean
}

const firstSuspicionMs = 300
const maxSuspicionMs = 4000
/// Others' calls, as an answer told of them, count half after this time.
const loadHalfLifeMs = 400
const maxCachedParts = 4000

/// The calls that seem to be at the instance, from this process and others.
export function estimateRunning (instance: Instance, nowMs: number): number {
  const ageMs = nowMs - instance.loadReportedAtMs
  return instance.running + instance.othersRunning * 0.5 ** (ageMs / loadHalfLifeMs)
}

export function recordLoad (instance: Instance, load: UpstreamLoad, nowMs: number): void {
  instance.othersRunning = Math.max(0, load.running + load.waiting - instance.running)
  instance.loadReportedAtMs = nowMs
}

/// Returns for how long the instance is now avoided.
export function recordFailure (instance: Instance, nowMs: number): number {
  instance.failures++
  const suspicionMs = Math.min(firstSuspicionMs * 2 ** (instance.failures - 1), maxSuspicionMs)
  instance.suspectUntilMs = nowMs + suspicionMs
  return suspicionMs
}

export function recordSuccess (instance: Instance): void {
  instance.failures = 0
  instance.suspectUntilMs = 0
}

/// Notes that the instance has read these parts of a prompt.
export function recordCachedParts (instance: Instance, partIds: readonly string[]): void {
  const { cachedParts } = instance
  for (const id of partIds) {
    cachedParts.delete(id)
    cachedParts.set(id, 1)
  }
  for (const id of cachedParts.keys()) {
    if (cachedParts.size <= maxCachedParts) return
    cachedParts.delete(id)
  }
}
