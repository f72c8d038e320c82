import type { LoopBacklog } from '#process/clock'
import type { EntryPlatform } from '#process/entry'
import type { EventLog } from '#process/log'
import type { Metrics } from '#process/metrics'
import type { Settings } from '#process/settings'

/// A daemon's connection to its platform.
export interface ConnectedPlatform extends EntryPlatform {
  /// Applies changed settings.
  reload (settings: Settings): void
}

/// What a process does in the system. Each of the functions may be called while another is under way, in any order.
export interface DaemonRole {
  /// Resolves when the role serves. Rejects if it can't be started.
  start (): Promise<void>
  /// Applies changed settings.
  reload (settings: Settings): void
  /// Resolves when what is under way has ended, or shortly before the grace time ends. It began at `askedAtMs`, on the
  /// monotonic clock of `performance.now()`.
  stop (askedAtMs: number): Promise<void>
  /// Calls of its callers; absent if it has none.
  readonly calls?: { readonly inFlight: number, readonly aborted: number }
}

export interface RoleContext {
  readonly settings: Settings
  readonly platform: ConnectedPlatform
  readonly log: EventLog
  readonly metrics: Metrics
  readonly backlog: LoopBacklog
  /// Aborted when the process is asked to stop.
  readonly stopping: AbortSignal
  /// Ends the process at once, since the role can't go on.
  readonly fail: (error: Error) => void
}
