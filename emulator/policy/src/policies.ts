import type { InstanceRegistry, Instance } from '#process/instances'
import { noopLog } from '#process/log'
import { Placement } from '#process/placement'
import type { InstanceLease } from '#process/placement'
import type { PolicyFactory, PlacementPolicy } from './emulation.js'

const zone = 'z'

/// The system's placement policy and the baselines that it is compared with.
export const policies: Readonly<Record<string, PolicyFactory>> = {
  'round robin': registry => new BaselinePolicy(registry, createRoundRobin()),
  'least loaded': registry => new BaselinePolicy(registry, selectLeastLoaded),
  'admit every program': registry => admitEveryProgram(new Placement(registry, zone, noopLog)),
  placement: registry => new Placement(registry, zone, noopLog)
}

type InstanceSelector = (instances: readonly Instance[]) => Instance

/// Assigns each call to an instance at once, without queueing or admission control.
class BaselinePolicy implements PlacementPolicy {
  constructor (private readonly registry: InstanceRegistry, private readonly select: InstanceSelector) {}

  acquire ({ service }: Parameters<PlacementPolicy['acquire']>[0]): Promise<InstanceLease> {
    const instance = this.select([...this.registry.readyInstances(service)])
    instance.running++
    return Promise.resolve({ instance, endPrefill: () => {}, release: () => { instance.running-- } })
  }
}

function createRoundRobin (): InstanceSelector {
  let next = 0
  return instances => instances[next++ % instances.length]!
}

function selectLeastLoaded (instances: readonly Instance[]): Instance {
  return instances.reduce((least, instance) => instance.running < least.running ? instance : least)
}

function admitEveryProgram (placement: Placement): PlacementPolicy {
  return {
    acquire: (request, signal) => placement.acquire({ ...request, isContinuing: true, maxWaitMs: Infinity }, signal)
  }
}
