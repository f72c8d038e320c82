import type { SystemNode } from '#standin/system'
import type { Random } from './random.js'

const probeIntervalMs = 1000
const maxMisses = 2

/// Asks entries once a second whether they are ready, as the platform does, and chooses one of those that are.
export class Balancer {
  private readonly misses = new Map<SystemNode, number>()
  private readonly timer: ReturnType<typeof setInterval>

  constructor (private readonly entries: readonly SystemNode[]) {
    this.timer = setInterval(() => { for (const entry of entries) this.probe(entry) }, probeIntervalMs)
  }

  choose (random: Random): SystemNode {
    const ready = this.entries.filter(entry => (this.misses.get(entry) ?? 0) < maxMisses)
    return random.pick(ready.length * 2 < this.entries.length ? this.entries : ready)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private probe (entry: SystemNode): void {
    fetch(`http://${entry.readinessAddress}/readyz`, { signal: AbortSignal.timeout(probeIntervalMs) }).then(
      ({ ok }) => this.misses.set(entry, ok ? 0 : (this.misses.get(entry) ?? 0) + 1),
      () => this.misses.set(entry, (this.misses.get(entry) ?? 0) + 1)
    )
  }
}
