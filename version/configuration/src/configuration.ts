/// One version of what operators have set. Immutable; a newer one replaces it whole.
export interface Configuration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, Service>
  readonly callerLimits: CallerLimits
}

/// How requests under a host and a path prefix are served.
export interface Route {
  readonly name: string
  readonly host: string
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly timeoutMs: number
  readonly targetLatencyMs: number
  /// 0 is the most urgent.
  readonly priority: number
  readonly targets: readonly RouteTarget[]
  /// Instances that one call may be sent to.
  readonly maxInstances: number
  /// Each turn is kept, and later turns may continue from it.
  readonly keepsHistory: boolean
  readonly retentionMs: number
  /// A broken stream may be continued after its last event.
  readonly resumable: boolean
}

export const RouteKind = {
  streaming: 'streaming',
  idempotent: 'idempotent',
  nonIdempotent: 'non-idempotent'
} as const

export type RouteKind = typeof RouteKind[keyof typeof RouteKind]

/// A service that a route leads to, with its share of the calls.
export interface RouteTarget {
  readonly service: string
  readonly weight: number
}

/// A group of instances that serve the same requests.
export interface Service {
  readonly name: string
  /// Connections that one instance takes from all callers together.
  readonly maxConnections: number
  readonly engine: Engine | null
}

/// The traits of a service's model engines.
export interface Engine {
  readonly slots: number
  readonly kvCapacityTokens: number
  /// Tokens in one event of a stream.
  readonly tokensPerEvent: number
}

/// What a caller may send, and how long it may take.
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}
