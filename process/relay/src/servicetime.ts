/// Work in the event loop of an entry, relative to that of a call that it serves itself. A chunk of a relayed
/// connection is read and written; a call has some ten of them.
export const CallCost = { served: 1, relayedChunk: 0.05 } as const

export type CallCost = typeof CallCost[keyof typeof CallCost]

/// Until enough calls have been measured.
const initialCallMs = 5
/// Fewer calls in the window of the mean do not change the time of a call.
const minMeasuredCalls = 4
/// Time constant of the means.
const windowMs = 1000
/// At a higher utilization the time of a call can't be estimated, only that it is long.
const maxUtilization = 0.97

/// Estimates how long a call takes in the event loop of this process: the busy time of a call, and its wait for that of
/// others. Needs no knowledge of the processor: on a slower one, or on a share of one, a call is busy for longer.
export class ServiceTime {
  private callMs = initialCallMs
  private utilization = 0
  /// Sums over the window, in which older calls and times count less.
  private calls = 0
  private activeMs = 0
  private idleMs = 0
  private newCalls = 0
  private last = performance.eventLoopUtilization()

  /// Must be called for each call that is started, and each chunk of a relayed connection.
  countCall (cost: CallCost): void {
    this.newCalls += cost
  }

  /// Adds the time since the last update.
  update (): void {
    const total = performance.eventLoopUtilization()
    const { active, idle } = performance.eventLoopUtilization(total, this.last)
    this.last = total
    const keep = Math.exp(-(active + idle) / windowMs)
    this.calls = this.calls * keep + this.newCalls
    this.activeMs = this.activeMs * keep + active
    this.idleMs = this.idleMs * keep + idle
    this.newCalls = 0
    this.utilization = this.activeMs / Math.max(1, this.activeMs + this.idleMs)
    if (this.calls >= minMeasuredCalls) this.callMs = this.activeMs / this.calls
  }

  /// Grows without bound as the utilization nears 1.
  get expectedMs (): number {
    return this.callMs / (1 - Math.min(this.utilization, maxUtilization))
  }
}
