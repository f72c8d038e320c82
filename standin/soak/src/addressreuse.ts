import { sleep } from '#process/clock'
import { StoreFault } from '#standin/store'
import type { ServiceName } from '#standin/system'
import type { StandinUpstream } from '#standin/upstream'
import type { DisturbanceContext } from './disturbancecontext.js'

const minReuseMs = 20
const maxReuseMs = 2000
/// Swaps of which the entries hear only later.
const unheardShare = 0.5
const maxUnheardMs = 1500
/// Apart from the indexes of other instances.
const firstIndex = 1000

/// Instances of two services that end at one moment, and whose addresses each are used again by the other service.
/// Entries that haven't heard of it still send requests there.
export class AddressReuse {
  private index = firstIndex
  private isSwapping = false

  constructor (private readonly context: DisturbanceContext) {}

  readonly actions: readonly (() => Promise<void>)[] = [() => this.swap(), () => this.swap()]

  private async swap (): Promise<void> {
    const { system, log, random } = this.context
    if (this.isSwapping || Math.min(system.engines.length, system.services.length) < 2) return
    this.isSwapping = true
    const endSilence = random.next() < unheardShare ? this.silenceStore() : () => {}
    const [engine, service] = [random.pick(system.engines), random.pick(system.services)]
    log.add('signal', null, 0, `${engine.options.id} and ${service.options.id} end`)
    const [enginePort, servicePort] = [this.end(engine), this.end(service)]
    await sleep(random.between(minReuseMs, maxReuseMs))
    await this.add('tools', enginePort)
    await this.add('models', servicePort)
    await sleep(random.between(0, maxUnheardMs))
    endSilence()
    this.isSwapping = false
  }

  /// The entries don't hear of the swap until the function that this returns is called.
  private silenceStore (): () => void {
    const { system: { store }, log } = this.context
    if (store.fault !== StoreFault.none) return () => {}
    const silence = log.add('unplanned', null, Infinity, `the store is ${StoreFault.silent}`)
    store.fault = StoreFault.silent
    store.compactHistory()
    return () => {
      store.fault = StoreFault.none
      silence.endMs = performance.now()
    }
  }

  /// Returns the port that is free then.
  private end (upstream: StandinUpstream): number {
    upstream.breakOffAll()
    return this.context.system.removeUpstream(upstream)
  }

  private async add (service: ServiceName, port: number): Promise<void> {
    const { system, log, onAddInstance } = this.context
    const index = this.index++
    log.add('signal', null, 0, `${service}-${index} is added at the address of an instance of another service`)
    onAddInstance(await system.addUpstream(service, index, port))
  }
}
