import type { ResponseHead, HeaderCodec } from '#connection/header'
import type { Call, RequestMemory } from '#request/call'
import type { ChainCache, Commit, TurnLedger } from '#request/turn'
import type { Route, Service, Workspace } from '#version/configuration'
import type { Admission, RefusedTurns } from '#process/admission'
import type { EventLog } from '#process/log'
import type { MemoryBudget, RequestBudget } from '#process/memory'
import type { Metrics } from '#process/metrics'
import type { Placement } from '#process/placement'
import type { ServiceTime } from '#process/relay'
import type { RequestLimits } from '#process/requestlimit'

/// Components of the process that forwarding uses.
export interface ForwardContext {
  readonly codec: HeaderCodec
  readonly admission: Admission
  readonly placement: Placement
  readonly limits: RequestLimits
  readonly serviceTime: ServiceTime
  readonly ledger: TurnLedger
  readonly cache: ChainCache
  /// For the bodies of requests and for prompts.
  readonly requestMemory: RequestBudget
  /// Those that were refused for want of memory.
  readonly waitingTurns: RefusedTurns
  /// For responses, until callers have read them.
  readonly responseMemory: MemoryBudget
  readonly log: EventLog
  readonly metrics: Metrics
}

/// A call with its route and limits.
export interface RoutedCall {
  readonly call: Call
  readonly route: Route
  /// Null if the configuration doesn't describe the service.
  readonly service: Service | null
  readonly serviceName: string
  /// The workspace that the call counts for; null without one.
  readonly workspace: Workspace | null
  /// Whether the configuration has workspaces. If not, callers aren't authenticated, and turns are open to all of them.
  readonly hasWorkspaces: boolean
  /// Throws `RefusedError` if the key of the call is no longer that of its workspace.
  readonly assertAuthorized: () => void
  /// The workspace's, or else the route's; 0 is the most urgent.
  readonly priority: number
  readonly configVersion: number
  readonly body: Buffer
  /// What the call's body and prompt take of the memory for requests.
  readonly memory: RequestMemory
  /// When the caller's or the route's timeout ends, whichever is earlier; on the monotonic clock of
  /// `performance.now()`.
  readonly deadlineMs: number
  /// The same if the request arrived only when it was read. `deadlineMs` is earlier if the process was busy, and the
  /// request may have waited.
  readonly lastDeadlineMs: number
  /// Aborted with an `AbortReason` when the caller disconnects or the deadline passes.
  readonly signal: AbortSignal
}

/// The response to the caller: either `respond`, or `startResponse`, `write` and `end`.
export interface CallerResponse {
  respond (head: ResponseHead, body: Buffer): void
  startResponse (head: ResponseHead): void
  write (bytes: Buffer): void
  end (): void
  /// Closes the connection, so that the caller can't take a truncated response for a complete one.
  abort (): void
  /// Says where the turn is stored, before `end`.
  setCommit (commit: Commit): void
  readonly hasStarted: boolean
}

/// Why the signal of a routed call was aborted.
export const AbortReason = { callerDisconnected: 'caller-left', deadline: 'deadline', stopping: 'stopping' } as const
