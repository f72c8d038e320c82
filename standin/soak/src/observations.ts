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
  /// Whose turns it belongs to: those of a caller, or of one of its sub-agents.
  readonly lineId: string
  readonly startedAtMs: number
  readonly sentAtMs: number
  readonly endedAtMs: number
  readonly status: number
  readonly body: string
  readonly isComplete: boolean
  /// The caller gave up.
  readonly isLeft: boolean
  /// Whether an answer before it on its connection said that the connection ends, so that it may have to be sent again.
  readonly isBehindLast: boolean
  /// When the head of an answer on its connection said that the connection ends, null if none did.
  readonly closeSaidAtMs: number | null
  /// How it was sent.
  readonly way: string
}

/// A run of an attempt at an instance.
export interface Run {
  readonly instanceId: string
  readonly startedAtMs: number
  /// Infinity while it is at work.
  endedAtMs: number
  /// Whether the instance itself broke off.
  isBrokenOff: boolean
}

/// A process from its start to its end, with the signals that it was sent.
export interface ProcessLife {
  readonly node: SystemNode
  readonly startedAtMs: number
  readyAtMs: number | null
  /// Infinity while it runs.
  endedAtMs: number
  exitCode: number | null
  endSignal: string | null
  /// It was killed as it was still there at the end of its grace time.
  outlivedGrace?: boolean
  /// What it used when it was killed for using more memory than it may.
  beyondMemoryMb?: number
  readonly signals: { readonly signal: string, readonly atMs: number }[]
  /// What it has written, once it has ended.
  lines: readonly string[]
}

/// What disturbs the system. Planned work concerns one process, or all of them; a `signal` that follows the first one
/// of a stop adds no time to it.
export interface Disturbance {
  readonly kind: 'stop' | 'signal' | 'settings' | 'configuration' | 'unplanned'
  readonly entry: SystemNode | null
  /// A storage machine that it is at, if it lets its process end.
  readonly storage?: SystemNode
  readonly startMs: number
  endMs: number
  readonly text: string
}

/// All that was seen from outside.
export class Observations {
  readonly attempts: Attempt[] = []
  /// When all processes were killed at the end, and when they were started again; null without such an end.
  finalFault: { readonly startMs: number, readonly backAtMs: number } | null = null
  /// How many turns all engines run at once.
  places = 0
  /// Called with each attempt when it is over.
  onAttempt: (attempt: Attempt) => void = () => {}
  readonly runs = new Map<string, Run[]>()
  readonly disturbances: Disturbance[] = []
  readonly lives: ProcessLife[] = []
  /// The timeouts of turns in the configurations, in order of their acknowledgement.
  readonly timeouts: { readonly sinceMs: number, readonly timeoutMs: number }[] = [{ sinceMs: 0, timeoutMs: 4000 }]
  /// How late this process itself was, which runs the callers and all stand-ins.
  readonly delays: { readonly atMs: number, readonly delayMs: number }[] = []
  /// When the run was over, Infinity before.
  endedAtMs = Infinity

  addAttempt (attempt: Attempt): void {
    this.attempts.push(attempt)
    this.onAttempt(attempt)
  }
}

const promiseStatuses: readonly number[] = [408, 421, 429, 503]

/// Whether the answer promises that the request has not run and will not.
export function isPromise ({ status, isComplete }: Attempt): boolean {
  return isComplete && promiseStatuses.includes(status)
}

/// Whether the attempt is a turn that was answered whole.
export function isWholeTurn ({ path, status, isComplete }: Attempt): boolean {
  return path.startsWith('/chat/') && status === 200 && isComplete
}
