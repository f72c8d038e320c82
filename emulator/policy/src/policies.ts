import type { InstanceRegistry, Instance } from '#process/instances'
import { noopLog } from '#process/log'
import { Placement } from '#process/placement'
import type { InstanceLease } from '#process/placement'
import type { PolicyFactory, PlacementPolicy } from './emulation.js'

const zone = 'z'

/// The product's policy and plain ones to hold it against.
export const policies: Readonly<Record<string, PolicyFactory>> = {
  'round robin': registry => new PlainPolicy(registry, takeInTurn()),
  'least loaded': registry => new PlainPolicy(registry, leastLoaded),
  'every program begun': registry => beginEveryProgram(new Placement(registry, zone, noopLog)),
  chosen: registry => new Placement(registry, zone, noopLog)
}

type Choose = (instances: readonly Instance[]) => Instance

/// Places each call at once, whatever the instances have to do.
class PlainPolicy implements PlacementPolicy {
  constructor (private readonly registry: InstanceRegistry, private readonly choose: Choose) {}

  acquire ({ service }: Parameters<PlacementPolicy['acquire']>[0]): Promise<InstanceLease> {
    const instance = this.choose([...this.registry.readyInstances(service)])
    instance.running++
    return Promise.resolve({ instance, release: () => { instance.running-- } })
  }
}

function takeInTurn (): Choose {
  let next = 0
  return instances => instances[next++ % instances.length]!
}

function leastLoaded (instances: readonly Instance[]): Instance {
  return instances.reduce((least, instance) => instance.running < least.running ? instance : least)
}

function beginEveryProgram (placement: Placement): PlacementPolicy {
  return { acquire: (need, signal) => placement.acquire({ ...need, isContinuing: true, maxWaitMs: Infinity }, signal) }
}
