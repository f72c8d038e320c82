/// What the launcher found before the daemon and its log existed. Both are bundled apart, but run in one process.
export interface LaunchReport {
  /// Why the bundle was compiled without its code cache; null if it was not.
  readonly codeCacheProblem: string | null
}

const reportKey = Symbol.for('chicorynotch.launchReport')

/// Leaves the report for the daemon.
export function setLaunchReport (report: LaunchReport): void {
  Reflect.set(globalThis, reportKey, report)
}

/// Returns null in a process that was started without the launcher.
export function getLaunchReport (): LaunchReport | null {
  return Reflect.get(globalThis, reportKey) ?? null
}
