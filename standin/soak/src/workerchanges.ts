import { sleep } from '#process/clock'
import type { ServiceName } from '#standin/system'
import { UpstreamFault } from '#standin/upstream'
import type { StandinUpstream } from '#standin/upstream'
import type { DisturbanceContext } from './disturbancecontext.js'

const minFaultMs = 300
const maxFaultMs = 2500
const faults = [
  UpstreamFault.earlyKept, UpstreamFault.earlyClosed, UpstreamFault.trailing, UpstreamFault.extra,
  UpstreamFault.idleClosed
]
const maxDrainMs = 3000
const pollIntervalMs = 50
/// After an instance has ended, its address may be used again.
const addressReuseMs = 2000
const releasedAtOnce = 2
const minInstances = 2
const maxInstances = 12
const services: readonly ServiceName[] = ['models', 'models', 'tools']

/// Instances that come and go, and ones that answer early or send more than their answers.
export class WorkerChanges {
  private nextIndex = 100
  private isReleasing = false

  constructor (private readonly context: DisturbanceContext) {}

  readonly actions: readonly (() => Promise<void>)[] = [
    () => this.fail(),
    () => this.fail(),
    () => this.release(),
    () => this.scaleIn(),
    () => this.scaleOut()
  ]

  /// An instance sends something unexpected for a while.
  private async fail (): Promise<void> {
    const { system, log, random } = this.context
    const upstream = random.pick([...system.engines, ...system.services])
    if (upstream.fault !== UpstreamFault.none) return
    upstream.fault = random.pick(faults)
    const durationMs = random.between(minFaultMs, maxFaultMs)
    log.add('signal', null, durationMs, `${upstream.options.id} is ${upstream.fault} for ${Math.round(durationMs)} ms`)
    await sleep(durationMs)
    upstream.fault = UpstreamFault.none
  }

  /// Some instances of a service are replaced one after the other, each by a new one at its address.
  private async release (): Promise<void> {
    if (this.isReleasing) return
    this.isReleasing = true
    const service = this.context.random.pick(services)
    for (const upstream of this.list(service).slice(0, releasedAtOnce)) {
      const port = await this.takeAway(upstream)
      await sleep(addressReuseMs)
      await this.add(service, port)
    }
    this.isReleasing = false
  }

  private async scaleIn (): Promise<void> {
    const service = this.context.random.pick(services)
    const all = this.list(service)
    if (this.isReleasing || all.length <= minInstances) return
    this.isReleasing = true
    await this.takeAway(this.context.random.pick(all))
    this.isReleasing = false
  }

  private async scaleOut (): Promise<void> {
    const service = this.context.random.pick(services)
    if (this.list(service).length < maxInstances) await this.add(service)
  }

  /// Returns the port that is free then.
  private async takeAway (upstream: StandinUpstream): Promise<number> {
    const { system, log } = this.context
    const { id } = upstream.options
    log.add('signal', null, 0, `${id} is draining`)
    system.drainUpstream(upstream)
    const deadlineMs = performance.now() + maxDrainMs
    await sleep(maxDrainMs / 2)
    while (upstream.busyCount > 0 && performance.now() < deadlineMs) await sleep(pollIntervalMs)
    log.add('signal', null, 0, `${id} is gone`)
    upstream.breakOffAll()
    return system.removeUpstream(upstream)
  }

  private async add (service: ServiceName, port?: number): Promise<void> {
    const { system, log, onAddInstance } = this.context
    const index = this.nextIndex++
    log.add('signal', null, 0, `${service}-${index} is added${port === undefined ? '' : ' at the address of another one'}`)
    const upstream = await system.addUpstream(service, index, port)
    onAddInstance(upstream)
  }

  private list (service: ServiceName): StandinUpstream[] {
    return [...service === 'models' ? this.context.system.engines : this.context.system.services]
  }
}
