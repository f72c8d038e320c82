import { DecayingMean } from './decayingmean.js'

/// Instances change this figure many times a second.
const reportHalfLifeMs = 250
const usualHalfLifeMs = 10_000
/// The usual value nears neutral if fewer reports than this are known.
const usualPriorWeight = 10

/// What an instance has reported about how long work takes there, as the logarithm of a factor: 0 as usual. A report
/// counts fully while it is fresh, and nears the instance's usual report as it gets older.
export class ReportedSlowdown {
  private latestLog = 0
  private reportedAtMs = -Infinity
  private readonly usual = new DecayingMean(usualHalfLifeMs)

  record (durationPercent: number, nowMs: number): void {
    this.latestLog = Math.log(durationPercent / 100)
    this.reportedAtMs = nowMs
    this.usual.add(this.latestLog, 1, nowMs)
  }

  getLog (nowMs: number): number {
    if (this.reportedAtMs === -Infinity) return 0
    const weight = this.usual.getWeight(nowMs)
    const usualLog = this.usual.mean * weight / (weight + usualPriorWeight)
    const freshness = 0.5 ** ((nowMs - this.reportedAtMs) / reportHalfLifeMs)
    return usualLog + (this.latestLog - usualLog) * freshness
  }
}
