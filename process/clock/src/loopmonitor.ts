const checkIntervalMs = 50
/// A timer this late means that the process was frozen or badly overloaded.
const stallThresholdMs = 250
const reportIntervalMs = 2000
/// The load is reported only if a timer was at least this late, or the event loop at least this busy.
const minReportedDelayMs = 100
const minReportedUtilization = 0.1
/// A delay counts as far as one of so many checks before had it, too.
const checksBetweenStalls = 4
/// Time constant of the mean delay.
const meanWindowMs = 300

/// The load of a process over one report interval.
export interface ProcessLoad {
  /// How late the latest timer fired.
  readonly maxDelayMs: number
  /// Share of the interval in which the event loop did not wait for events.
  readonly utilization: number
  /// CPU time used, by all threads.
  readonly cpuMs: number
  readonly intervalMs: number
}

export interface LoopMonitorOptions {
  /// Called after each check, with how late its timer fired.
  readonly onDelay: (delayMs: number) => void
  /// Called after each stall, with the delay of the timer.
  readonly onStall: (delayMs: number) => void
  /// Called after an interval in which the event loop fell behind or was busy.
  readonly onLoad: (load: ProcessLoad) => void
}

/// How far an event loop is behind, as far as its process can tell.
export interface LoopBacklog {
  /// How long an event that is handled now may have waited.
  readonly currentDelayMs: number
  /// Mean delay of the last few hundred milliseconds, without single stalls: what waits next doesn't wait for them.
  readonly meanDelayMs: number
}

/// Measures how far the event loop is behind: how late a timer fires that is due every 50 ms.
export class LoopMonitor implements LoopBacklog {
  meanDelayMs = 0
  /// The latest first.
  private recentDelaysMs: readonly number[] = [0]
  private checkedAtMs = performance.now()
  private reportedAtMs = performance.now()
  private reportedCpuMs = readCpuMs()
  private reportedUtilization = performance.eventLoopUtilization()
  private maxDelayMs = 0
  private isStopped = false
  private readonly timer = setInterval(() => this.check(), checkIntervalMs)

  constructor (private readonly options: LoopMonitorOptions) {}

  /// The delay of the last check, and the time by which the next one is overdue. 0 once the monitor is stopped.
  get currentDelayMs (): number {
    if (this.isStopped) return 0
    return this.recentDelaysMs[0]! + Math.max(0, performance.now() - this.checkedAtMs - checkIntervalMs)
  }

  stop (): void {
    this.isStopped = true
    clearInterval(this.timer)
  }

  private check (): void {
    const nowMs = performance.now()
    const elapsedMs = nowMs - this.checkedAtMs
    const delayMs = Math.max(0, elapsedMs - checkIntervalMs)
    const repeatedDelayMs = Math.min(delayMs, Math.max(...this.recentDelaysMs))
    this.checkedAtMs = nowMs
    this.recentDelaysMs = [delayMs, ...this.recentDelaysMs].slice(0, checksBetweenStalls)
    this.meanDelayMs += (repeatedDelayMs - this.meanDelayMs) * (1 - Math.exp(-elapsedMs / meanWindowMs))
    this.maxDelayMs = Math.max(this.maxDelayMs, delayMs)
    this.options.onDelay(delayMs)
    if (delayMs >= stallThresholdMs) this.options.onStall(Math.round(delayMs))
    if (nowMs - this.reportedAtMs >= reportIntervalMs) this.report(nowMs)
  }

  private report (nowMs: number): void {
    const cpuMs = readCpuMs()
    const total = performance.eventLoopUtilization()
    const { utilization } = performance.eventLoopUtilization(total, this.reportedUtilization)
    this.reportedUtilization = total
    if (this.maxDelayMs >= minReportedDelayMs || utilization >= minReportedUtilization) {
      this.options.onLoad({
        maxDelayMs: Math.round(this.maxDelayMs),
        utilization: Math.round(utilization * 100) / 100,
        cpuMs: Math.round(cpuMs - this.reportedCpuMs),
        intervalMs: Math.round(nowMs - this.reportedAtMs)
      })
    }
    this.reportedAtMs = nowMs
    this.reportedCpuMs = cpuMs
    this.maxDelayMs = 0
  }
}

/// CPU time that this process has used since its start.
export function readCpuMs (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / 1000
}
