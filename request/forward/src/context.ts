import type { ResponseHead, HeaderCodec } from '#connection/header'
import type { Call } from '#request/call'
import type { ChainCache, TurnLedger } from '#request/turn'
import type { Route, Service } from '#version/configuration'
import type { EventLog } from '#process/log'
import type { Metrics } from '#process/metrics'
import type { Placement } from '#process/placement'

/// What forwarding needs of its process.
export interface ForwardContext {
  readonly codec: HeaderCodec
  readonly placement: Placement
  readonly ledger: TurnLedger
  readonly cache: ChainCache
  readonly log: EventLog
  readonly metrics: Metrics
}

/// A call with all that decides how it is served.
export interface RoutedCall {
  readonly call: Call
  readonly route: Route
  readonly service: Service | null
  readonly serviceName: string
  readonly configVersion: number
  readonly body: Buffer
  /// On the runtime's monotonic clock: the caller's patience or the route's timeout.
  readonly deadlineMs: number
  /// Aborted when the caller has left or the deadline has passed.
  readonly signal: AbortSignal
}

/// The caller's side of an answer.
export interface CallerResponse {
  respond (head: ResponseHead, body: Buffer): void
  startResponse (head: ResponseHead): void
  write (bytes: Buffer): void
  end (): void
  /// Closes the connection, so that the answer can't be taken for a whole one.
  abort (): void
  readonly hasStarted: boolean
}

/// Why a call's signal was aborted.
export const AbortReason = { callerDisconnected: 'caller-left', deadline: 'deadline' } as const
