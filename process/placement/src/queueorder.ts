import type { PlacementRequest } from './choice.js'

/// A call that waits for capacity.
export interface QueuedCall {
  readonly request: PlacementRequest
  readonly queuedAtMs: number
}

/// Whether a program can still end in time. The lower value is placed first.
const Timeliness = { inTime: 0, late: 1 } as const

type Timeliness = typeof Timeliness[keyof typeof Timeliness]

/// What the order of calls depends on at one time. Of each figure the lower value is placed first.
export interface Urgency {
  /// 0 is the most urgent; negative for calls that have waited.
  readonly rank: number
  readonly timeliness: Timeliness
  readonly deadlineMs: number
}

/// Aging: the rank of a queued call falls by one for each such interval that it has waited; the lowest is placed first.
const agingIntervalMs = 400
/// Added to the rank of a program's first turn: a program has value only when it completes, so those that have
/// started are completed first.
const newProgramRankPenalty = 1

/// Returns what decides the place of a call in the queue at `nowMs`.
export function getUrgency (call: QueuedCall, nowMs: number): Urgency {
  const { request } = call
  return {
    rank: getRank(call, nowMs),
    timeliness: getTimeliness(request, nowMs),
    deadlineMs: getDeadlineMs(request)
  }
}

/// Orders calls by rank, then those of programs in time before late ones, then by the earliest deadline. A late call
/// that has waited for longer has a better rank, so it is served as well. Entries don't know when a program began,
/// hence not whether it can still end within twice its latency target.
export function compareUrgency (a: Urgency, b: Urgency): number {
  return compareClasses(a, b) || a.deadlineMs - b.deadlineMs
}

/// The same without the deadlines.
export function compareClasses (a: Urgency, b: Urgency): number {
  return a.rank - b.rank || a.timeliness - b.timeliness
}

/// Orders two waiting calls as `compareUrgency` does their urgencies at `nowMs`.
export function compareCalls (a: QueuedCall, b: QueuedCall, nowMs: number): number {
  return compareUrgency(getUrgency(a, nowMs), getUrgency(b, nowMs))
}

function getRank ({ request, queuedAtMs }: QueuedCall, nowMs: number): number {
  const baseRank = request.priority + (request.isContinuing ? 0 : newProgramRankPenalty)
  return baseRank - Math.floor((nowMs - queuedAtMs) / agingIntervalMs)
}

function getTimeliness ({ call }: PlacementRequest, nowMs: number): Timeliness {
  const remainingMs = call.program?.remainingMs ?? Infinity
  return call.receivedAtMs + remainingMs > nowMs ? Timeliness.inTime : Timeliness.late
}

/// The deadline of the call's program, or of the call itself if it belongs to none or its program names no time.
function getDeadlineMs ({ call, deadlineMs }: PlacementRequest): number {
  const remainingMs = call.program?.remainingMs ?? null
  return remainingMs === null ? deadlineMs : call.receivedAtMs + remainingMs
}
