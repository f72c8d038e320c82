import type { Settings } from './settings.js'

/// When a changed setting takes effect.
export const ReloadTime = {
  /// As soon as the changed file is read.
  atOnce: 'at-once',
  /// Read at the start only; a running process ignores a change.
  atStart: 'at-start',
  /// A change, and all others of the same file, take effect at the next start.
  restart: 'restart'
} as const

export type ReloadTime = typeof ReloadTime[keyof typeof ReloadTime]

/// By TABLE.KEY. docs/OPERATIONS.md lists them too.
export const reloadTimes: Readonly<Record<string, ReloadTime>> = {
  'node.name': ReloadTime.restart,
  'node.role': ReloadTime.restart,
  'node.zone': ReloadTime.restart,
  'node.ip': ReloadTime.restart,
  'node.first_start': ReloadTime.atStart,
  'node.processor_share': ReloadTime.atOnce,
  'node.processor_speed': ReloadTime.atOnce,
  'node.memory_mb': ReloadTime.atStart,
  'node.max_descriptors': ReloadTime.atStart,
  'node.tolerated_losses': ReloadTime.restart,
  'listen.callers': ReloadTime.restart,
  'listen.readiness': ReloadTime.restart,
  'listen.readiness_path': ReloadTime.restart,
  'listen.peer_port': ReloadTime.restart,
  'listen.metrics_port': ReloadTime.restart,
  'store.address': ReloadTime.atOnce,
  'storage.data_dir': ReloadTime.restart,
  'storage.disk_mb': ReloadTime.restart,
  'engine.address': ReloadTime.restart,
  'quota.window_ms': ReloadTime.restart,
  'quota.overshoot_share': ReloadTime.restart,
  'quota.slack_requests': ReloadTime.restart,
  'timing.stop_grace_ms': ReloadTime.atOnce,
  'timing.drain_ms': ReloadTime.atOnce,
  'timing.catch_up_ms': ReloadTime.atOnce,
  'timing.heartbeat_ms': ReloadTime.atOnce
}

/// What differs between two settings.
export interface SettingsDifference {
  /// TABLE.KEY of the changes that a running process doesn't ignore.
  readonly changed: readonly string[]
  /// Those of them for which the process must be started again.
  readonly needRestart: readonly string[]
}

export function compareSettings (before: Settings, after: Settings): SettingsDifference {
  const changed = Object.keys(reloadTimes).filter(key => {
    return reloadTimes[key] !== ReloadTime.atStart && readKey(before, key) !== readKey(after, key)
  })
  return { changed, needRestart: changed.filter(key => reloadTimes[key] === ReloadTime.restart) }
}

function readKey (settings: Settings, path: string): unknown {
  const [table, key] = path.split('.') as [string, string]
  return (settings as Readonly<Record<string, Readonly<Record<string, unknown>> | undefined>>)[table]?.[key]
}
