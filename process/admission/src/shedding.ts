import { Standing } from '#process/fairness'
import { unitHash } from '#version/configuration'

/// A turn is on time if it waits for this share of its latency target.
const targetWaitShare = 0.8
const updateIntervalMs = 200
/// Change of the shed share per update while turns wait for longer than that, and while they don't.
const shareIncrease = 0.05
const shareDecrease = 0.02
const maxShedShare = 0.95
/// Weight of the latest turn in the mean.
const meanWeight = 0.1
/// The shed share of the most urgent programs, relative to that of others.
const urgentFactor = 0.7

/// The programs of workspaces that ask for much more than their share are shed first, until a quarter is left of them.
const maxShareAbove = 0.75
const maxShareBeforeOthers = maxShareAbove / 2

/// Share of a workspace's programs that are not served, by its standing, of the share of all.
const shareByStanding: Readonly<Record<Standing, (shedShare: number) => number>> = {
  equal: shedShare => shedShare,
  above: shedShare => Math.max(Math.min(2 * shedShare, maxShareAbove), shedShare),
  within: shedShare => {
    return Math.max(0, shedShare - maxShareBeforeOthers) / (maxShedShare - maxShareBeforeOthers) * maxShedShare
  }
}

/// Chooses which programs a busy process does not serve: a share of them by a hash of their ids, which grows while
/// turns wait for too long. All entries choose by the same hash, so those that are about equally busy choose the same
/// programs: a program is refused at its start everywhere, or served at each of its turns.
export class Shedding {
  /// Share of the programs that are not served.
  shedShare = 0
  /// Mean wait of turns, relative to their latency targets.
  private meanWaitShare = 0
  private updatedAtMs = performance.now()

  /// Records how long a turn is expected to wait.
  observe (waitMs: number, targetLatencyMs: number): void {
    this.meanWaitShare += (waitMs / targetLatencyMs - this.meanWaitShare) * meanWeight
    const updates = Math.floor((performance.now() - this.updatedAtMs) / updateIntervalMs)
    if (updates === 0) return
    this.updatedAtMs = performance.now()
    const change = this.meanWaitShare > targetWaitShare ? shareIncrease : -shareDecrease * updates
    this.shedShare = Math.min(Math.max(this.shedShare + change, 0), maxShedShare)
  }

  isShed (programId: string, priority: number, standing: Standing = Standing.equal): boolean {
    const share = shareByStanding[standing](this.shedShare) * (priority === 0 ? urgentFactor : 1)
    return share > 0 && unitHash(`shed/${programId}`) < share
  }
}
