/// A kind of event. Numbers and names are stable; docs/EVENTS.md lists them.
export interface EventKind {
  readonly number: number
  readonly name: string
  readonly level: 'debug' | 'info' | 'warn' | 'error'
  /// Further lines within a second are dropped and counted.
  readonly maxLinesPerSecond: number
}

/// The catalogue of events. Numbers: 1xx process, 2xx configuration, 3xx membership and storage, 4xx the platform's
/// store, 5xx calls at an entry, 6xx instances and other entries.
export const Events = {
  processStarted: { number: 100, name: 'process-started', level: 'info', maxLinesPerSecond: 5 },
  processStopping: { number: 101, name: 'process-stopping', level: 'info', maxLinesPerSecond: 5 },
  processStopped: { number: 102, name: 'process-stopped', level: 'info', maxLinesPerSecond: 5 },
  settingsReloaded: { number: 103, name: 'settings-reloaded', level: 'info', maxLinesPerSecond: 5 },
  linesDropped: { number: 104, name: 'lines-dropped', level: 'warn', maxLinesPerSecond: 50 },
  unexpectedError: { number: 105, name: 'unexpected-error', level: 'error', maxLinesPerSecond: 10 },
  settingsRejected: { number: 106, name: 'settings-rejected', level: 'error', maxLinesPerSecond: 5 },
  processStalled: { number: 107, name: 'process-stalled', level: 'warn', maxLinesPerSecond: 2 },
  processLoad: { number: 108, name: 'process-load', level: 'info', maxLinesPerSecond: 2 },
  settingsPending: { number: 109, name: 'settings-pending', level: 'warn', maxLinesPerSecond: 5 },
  previousRunEnded: { number: 110, name: 'previous-run-ended', level: 'info', maxLinesPerSecond: 5 },
  signalIgnored: { number: 111, name: 'signal-ignored', level: 'warn', maxLinesPerSecond: 5 },
  startFailed: { number: 112, name: 'start-failed', level: 'error', maxLinesPerSecond: 5 },
  codeCacheUnused: { number: 120, name: 'code-cache-unused', level: 'warn', maxLinesPerSecond: 5 },
  configurationApplied: { number: 200, name: 'configuration-applied', level: 'info', maxLinesPerSecond: 10 },
  configurationRejected: { number: 201, name: 'configuration-rejected', level: 'error', maxLinesPerSecond: 5 },
  viewAdopted: { number: 300, name: 'view-adopted', level: 'info', maxLinesPerSecond: 10 },
  viewChanged: { number: 301, name: 'view-changed', level: 'info', maxLinesPerSecond: 10 },
  viewRejected: { number: 302, name: 'view-rejected', level: 'error', maxLinesPerSecond: 5 },
  diskOpened: { number: 310, name: 'disk-opened', level: 'info', maxLinesPerSecond: 5 },
  diskTailDropped: { number: 311, name: 'disk-tail-dropped', level: 'warn', maxLinesPerSecond: 5 },
  diskFailed: { number: 312, name: 'disk-failed', level: 'error', maxLinesPerSecond: 5 },
  segmentDropped: { number: 313, name: 'segment-dropped', level: 'info', maxLinesPerSecond: 5 },
  copyCompleted: { number: 320, name: 'copy-completed', level: 'info', maxLinesPerSecond: 5 },
  copyFailed: { number: 321, name: 'copy-failed', level: 'warn', maxLinesPerSecond: 2 },
  memberLost: { number: 330, name: 'member-lost', level: 'warn', maxLinesPerSecond: 5 },
  memberRegained: { number: 331, name: 'member-regained', level: 'info', maxLinesPerSecond: 5 },
  quorumMissed: { number: 332, name: 'quorum-missed', level: 'warn', maxLinesPerSecond: 10 },
  retirement: { number: 340, name: 'retirement', level: 'info', maxLinesPerSecond: 5 },
  storeLost: { number: 400, name: 'store-lost', level: 'warn', maxLinesPerSecond: 2 },
  storeRegained: { number: 401, name: 'store-regained', level: 'info', maxLinesPerSecond: 2 },
  watchRestarted: { number: 402, name: 'watch-restarted', level: 'info', maxLinesPerSecond: 2 },
  storeWriteFailed: { number: 403, name: 'store-write-failed', level: 'warn', maxLinesPerSecond: 2 },
  objectIgnored: { number: 404, name: 'object-ignored', level: 'warn', maxLinesPerSecond: 2 },
  storeCalls: { number: 405, name: 'store-calls', level: 'info', maxLinesPerSecond: 2 },
  objectFailed: { number: 406, name: 'object-failed', level: 'error', maxLinesPerSecond: 5 },
  callDispatched: { number: 500, name: 'call-dispatched', level: 'info', maxLinesPerSecond: 300 },
  callFinished: { number: 501, name: 'call-finished', level: 'info', maxLinesPerSecond: 300 },
  callRefused: { number: 502, name: 'call-refused', level: 'warn', maxLinesPerSecond: 50 },
  callRetried: { number: 503, name: 'call-retried', level: 'warn', maxLinesPerSecond: 50 },
  callAbandoned: { number: 504, name: 'call-abandoned', level: 'info', maxLinesPerSecond: 50 },
  streamResumed: { number: 505, name: 'stream-resumed', level: 'info', maxLinesPerSecond: 50 },
  answerBroken: { number: 506, name: 'answer-broken', level: 'warn', maxLinesPerSecond: 50 },
  settleAbandoned: { number: 507, name: 'settle-abandoned', level: 'warn', maxLinesPerSecond: 10 },
  callWaiting: { number: 508, name: 'call-waiting', level: 'info', maxLinesPerSecond: 20 },
  requestMalformed: { number: 509, name: 'request-malformed', level: 'warn', maxLinesPerSecond: 10 },
  connectionRelayed: { number: 510, name: 'connection-relayed', level: 'info', maxLinesPerSecond: 100 },
  relayFailed: { number: 511, name: 'relay-failed', level: 'warn', maxLinesPerSecond: 50 },
  instanceAdded: { number: 600, name: 'instance-added', level: 'info', maxLinesPerSecond: 20 },
  instanceChanged: { number: 601, name: 'instance-changed', level: 'info', maxLinesPerSecond: 20 },
  instanceRemoved: { number: 602, name: 'instance-removed', level: 'info', maxLinesPerSecond: 20 },
  instanceHeld: { number: 603, name: 'instance-held', level: 'info', maxLinesPerSecond: 20 },
  instanceSuspected: { number: 604, name: 'instance-suspected', level: 'warn', maxLinesPerSecond: 20 },
  instanceIgnored: { number: 605, name: 'instance-ignored', level: 'warn', maxLinesPerSecond: 5 },
  instanceLimited: { number: 606, name: 'instance-limited', level: 'warn', maxLinesPerSecond: 20 },
  instanceLimitEnded: { number: 607, name: 'instance-limit-ended', level: 'info', maxLinesPerSecond: 20 },
  instanceLeaving: { number: 608, name: 'instance-leaving', level: 'info', maxLinesPerSecond: 20 },
  entryListed: { number: 610, name: 'entry-listed', level: 'info', maxLinesPerSecond: 20 },
  entryHeard: { number: 611, name: 'entry-heard', level: 'info', maxLinesPerSecond: 20 },
  entrySilent: { number: 612, name: 'entry-silent', level: 'warn', maxLinesPerSecond: 20 }
} as const satisfies Record<string, EventKind>
