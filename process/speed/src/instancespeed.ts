import { ReportedSlowdown } from './reportedslowdown.js'

/// Smaller deviations are noise; instances within them are treated as equal.
const deadBandLog = 0.1
const maxLog = Math.log(10)

/// How long work takes at an instance now, compared with the other instances of its service.
export class InstanceSpeed {
  private readonly reported = new ReportedSlowdown()

  /// Records a figure that the instance reports: 100 as usual, 200 twice as long.
  recordReport (durationPercent: number, nowMs: number): void {
    this.reported.record(durationPercent, nowMs)
  }

  /// The factor by which work takes longer there: 1 as usual, above 1 on a slow instance.
  getFactor (nowMs: number): number {
    const log = applyDeadBand(this.reported.getLog(nowMs), deadBandLog)
    return log === 0 ? 1 : Math.exp(Math.min(Math.max(log, -maxLog), maxLog))
  }
}

/// 0 within the band, the value itself from twice the band on, and linear between.
export function applyDeadBand (value: number, band: number): number {
  const excess = Math.abs(value) - band
  if (excess <= 0) return 0
  return excess >= band ? value : Math.sign(value) * 2 * excess
}
