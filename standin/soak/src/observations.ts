import type { SystemNode } from '#standin/system'

/// One attempt of a caller, as the caller and the instances saw it. Times are on the clock of `performance.now()`.
export interface Attempt {
  readonly id: string
  readonly path: string
  readonly method: string
  readonly entry: SystemNode
  /// Whether an earlier request was answered on the same connection.
  readonly isKept: boolean
  readonly deadlineMs: number
  readonly previousTurnId: string | null
  readonly startedAtMs: number
  readonly sentAtMs: number
  readonly endedAtMs: number
  readonly status: number
  readonly body: string
  readonly isComplete: boolean
  /// The caller gave up.
  readonly isLeft: boolean
}

/// A run of an attempt at an instance.
export interface Run {
  readonly instanceId: string
  readonly startedAtMs: number
  /// Infinity while it is at work.
  endedAtMs: number
}

/// What disturbs the system. Planned work concerns one entry, or all of them.
export interface Disturbance {
  readonly kind: 'stop' | 'settings' | 'configuration' | 'unplanned'
  readonly entry: SystemNode | null
  readonly startMs: number
  endMs: number
  readonly text: string
}

/// All that was seen from outside.
export class Observations {
  readonly attempts: Attempt[] = []
  readonly runs = new Map<string, Run[]>()
  readonly disturbances: Disturbance[] = []
}
