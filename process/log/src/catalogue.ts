/// A kind of event. Its number and name are stable; docs/EVENTS.md lists all.
export interface EventKind {
  readonly number: number
  readonly name: string
  readonly level: 'debug' | 'info' | 'warn' | 'error'
}

/// The catalogue of events. Numbers: 1xx a process, 2xx configuration,
/// 3xx membership and partitions, 4xx the commit log and the store,
/// 5xx programs and calls at an entry, 6xx calls at a sidecar, 7xx operators.
export const Events = {
  processStarted: { number: 100, name: 'process-started', level: 'info' },
  processStopping: { number: 101, name: 'process-stopping', level: 'info' },
  processStopped: { number: 102, name: 'process-stopped', level: 'info' }
} as const satisfies Record<string, EventKind>
