import type { Workspaces } from './workspaces.js'

/// One version of the operator's configuration. Immutable; a newer version replaces all of it.
export interface Configuration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, Service>
  readonly callerLimits: CallerLimits
  /// The workspaces that may call routes that aren't public; null if calls need no key.
  readonly workspaces: Workspaces | null
}

/// How calls to a host and path prefix are served. Times are whole milliseconds.
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
  /// Number of instances that one call may be sent to.
  readonly maxInstances: number
  /// True if turns are stored, so that later turns can continue from them.
  readonly keepsHistory: boolean
  readonly retentionMs: number
  /// True if an instance that has recently handled the same object performs faster.
  readonly isSticky: boolean
  /// True if a broken stream may be resumed after its last event.
  readonly resumable: boolean
  /// True if calls need no key, also if there are workspaces.
  readonly isPublic: boolean
}

export const RouteKind = {
  streaming: 'streaming',
  idempotent: 'idempotent',
  nonIdempotent: 'non-idempotent'
} as const

export type RouteKind = typeof RouteKind[keyof typeof RouteKind]

/// A service that a route forwards calls to; its share is its weight relative to the route's other targets.
export interface RouteTarget {
  readonly service: string
  readonly weight: number
}

/// A group of instances that serve the same requests.
export interface Service {
  readonly name: string
  /// Connections that one instance accepts from all of its clients together. 0 if not configured.
  readonly maxConnections: number
  /// Null for services without a model engine.
  readonly engine: Engine | null
}

/// Properties of each model engine of a service.
export interface Engine {
  readonly slots: number
  readonly kvCapacityTokens: number
  /// Tokens per event of a response stream; more than 0, may be a fraction.
  readonly tokensPerEvent: number
}

/// Size limits and timeouts of callers' requests. Times are whole milliseconds.
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/// A group of callers who share keys, a priority and a quota.
export interface Workspace {
  readonly name: string
  /// Callers authenticate with any of them.
  readonly keys: readonly string[]
  /// Goes before the priority of a route; 0 is the most urgent. Null if the route's holds.
  readonly priority: number | null
  /// Null for no limit.
  readonly quota: Quota | null
}

/// How many requests of a workspace may run, at all entries together.
export interface Quota {
  readonly ratePerS: number
  /// Requests beyond the rate that may run at once.
  readonly burst: number
}
