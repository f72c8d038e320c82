/// Requests that an instance runs at once.
export const instanceSlots = 32
export const tokensPerEvent = 10
const defaultTurnTimeoutMs = 4000

/// Builds the operator's configuration for the stand-in upstream instances, with further routes that get no calls.
export function createConfiguration (version: number, idleRoutes = 0, turnTimeoutMs = defaultTurnTimeoutMs): unknown {
  const turn = { hostname: 'demo.example', route_kind: 'streaming', timeout_ms: turnTimeoutMs, target_latency_ms: 250, service: 'models', max_attempts: 2, retention_s: 60, sticky: true, target_gap_ms: 200 }
  const tool = { hostname: 'demo.example', timeout_ms: 1500, target_latency_ms: 100, priority: 2, service: 'tools' }
  return {
    version,
    routes: [
      { ...turn, name: 'chat', path_prefix: '/chat/', priority: 0, keeps_history: true, resumable: false },
      { ...turn, name: 'query', path_prefix: '/query/', priority: 1, keeps_history: false, resumable: true },
      { ...tool, name: 'check', path_prefix: '/check/', route_kind: 'idempotent', max_attempts: 2 },
      { ...tool, name: 'charge', path_prefix: '/charge/', route_kind: 'non_idempotent', max_attempts: 1, sticky: true },
      ...Array.from({ length: idleRoutes }, (_, i) => {
        return { ...tool, name: `idle-${i}`, path_prefix: `/idle-${i}/`, route_kind: 'idempotent', max_attempts: 2 }
      })
    ],
    services: [
      { name: 'models', health_path: '/healthz', max_conns: 240, protocol: 'h1', tls: false, engine: { slots: instanceSlots, kv_capacity: 800_000, chunk_tokens: tokensPerEvent } },
      { name: 'tools', health_path: '/healthz', max_conns: 110, protocol: 'h1', tls: false }
    ],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
  }
}
