import { DecayingMean } from './decayingmean.js'
import { ReportedSlowdown } from './reportedslowdown.js'
import type { SpeedSample } from './servicemodel.js'

/// What was observed of an instance since the last time, for other entries: the sum of the weighted logarithms, and of
/// the weights.
export interface SpeedObservations {
  readonly sum: number
  readonly weight: number
}

/// Half-lives of all samples, and of the run of latest ones that shows a sudden change.
const longHalfLifeMs = 20_000
const recentHalfLifeMs = 2000
/// What is learned nears neutral if its samples have less weight than this.
const priorWeight = 2
/// The run replaces the mean of all samples from this weight on; it nears neutral if it has less than the prior.
const minRecentWeight = 1.5
const priorRecentWeight = 0.5
/// Samples that differ from the earlier ones by this logarithm may say that the instance has changed.
const changeLog = 0.5
/// Smaller deviations are noise, the more so the fewer samples there are; instances within them are treated as equal.
const deadBandLog = 0.1
const sampleNoiseLog = 0.35
const minWeight = 1
const maxLog = Math.log(10)
/// The factor is computed anew for samples and reports, and after this time.
const cacheMs = 20

/// How long work takes at an instance now, compared with the other instances of its service: learned from responses,
/// and as the instance reports it.
export class InstanceSpeed {
  private readonly reported = new ReportedSlowdown()
  private readonly long = new DecayingMean(longHalfLifeMs)
  /// The latest samples, as long as each of them differs from what was learned before in the same direction.
  private recent = new DecayingMean(recentHalfLifeMs)
  private unsentSum = 0
  private unsentWeight = 0
  private hasData = false
  private factor = 1
  private factorUntilMs = -Infinity

  /// Records a figure that the instance reports: 100 as usual, 200 twice as long.
  recordReport (durationPercent: number, nowMs: number): void {
    this.reported.record(durationPercent, nowMs)
    this.invalidate()
  }

  /// Records how much longer a call took than calls of its kind usually do. What the instance reports already explains
  /// that in part.
  recordSample ({ log, weight }: SpeedSample, nowMs: number): void {
    const unexplainedLog = log - this.reported.getLog(nowMs)
    this.add(unexplainedLog, weight, nowMs)
    this.unsentSum += unexplainedLog * weight
    this.unsentWeight += weight
  }

  /// Records what another entry has observed.
  recordShared ({ sum, weight }: SpeedObservations, nowMs: number): void {
    if (weight > 0) this.add(sum / weight, weight, nowMs)
  }

  get unsent (): SpeedObservations {
    return { sum: this.unsentSum, weight: this.unsentWeight }
  }

  markSent (): void {
    this.unsentSum = 0
    this.unsentWeight = 0
  }

  /// The factor by which work takes longer there: 1 as usual, above 1 on a slow instance.
  getFactor (nowMs: number): number {
    if (!this.hasData) return 1
    if (nowMs >= this.factorUntilMs) {
      this.factor = this.computeFactor(nowMs)
      this.factorUntilMs = nowMs + cacheMs
    }
    return this.factor
  }

  private add (log: number, weight: number, nowMs: number): void {
    const deviation = log - this.long.mean
    const isSameDirection = deviation * (this.recent.mean - this.long.mean) >= 0
    if (Math.abs(deviation) < changeLog || !isSameDirection) this.recent = new DecayingMean(recentHalfLifeMs)
    if (Math.abs(deviation) >= changeLog) this.recent.add(log, weight, nowMs)
    this.long.add(log, weight, nowMs)
    this.invalidate()
  }

  private invalidate (): void {
    this.hasData = true
    this.factorUntilMs = -Infinity
  }

  private computeFactor (nowMs: number): number {
    const log = this.getLearnedLog(nowMs) + applyDeadBand(this.reported.getLog(nowMs), deadBandLog)
    return log === 0 ? 1 : Math.exp(Math.min(Math.max(log, -maxLog), maxLog))
  }

  private getLearnedLog (nowMs: number): number {
    const weight = this.long.getWeight(nowMs)
    if (weight < minWeight) return 0
    const recentWeight = this.recent.getWeight(nowMs)
    if (recentWeight >= minRecentWeight) return this.recent.mean * recentWeight / (recentWeight + priorRecentWeight)
    const band = deadBandLog + sampleNoiseLog / Math.sqrt(weight)
    return applyDeadBand(this.long.mean * weight / (weight + priorWeight), band)
  }
}

/// 0 within the band, the value itself from twice the band on, and linear between.
function applyDeadBand (value: number, band: number): number {
  const excess = Math.abs(value) - band
  if (excess <= 0) return 0
  return excess >= band ? value : Math.sign(value) * 2 * excess
}
