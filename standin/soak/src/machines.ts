import { usualBehaviour } from '#standin/machine'
import type { LinkState, MachineBehaviour, MachineMessage } from '#standin/machine'
import type { SystemNode } from '#standin/system'

/// The machines that processes run on, and how each behaves now, also after a restart of its process.
export class Machines {
  private readonly behaviours = new Map<SystemNode, MachineBehaviour>()

  /// Disturbs a machine until the function that this returns is called.
  disturb (node: SystemNode, changes: Partial<Omit<MachineBehaviour, 'links'>>): () => void {
    const before = this.behaviour(node)
    this.set(node, { ...before, ...changes })
    return () => {
      const keys = Object.keys(changes) as (keyof typeof changes)[]
      const usual = Object.fromEntries(keys.map(key => [key, usualBehaviour[key]]))
      this.set(node, { ...this.behaviour(node), ...usual })
    }
  }

  /// Disturbs the link from one node to another until the function that this returns is called.
  disturbLink (from: SystemNode, to: SystemNode, state: LinkState): () => void {
    const addresses = listAddresses(to)
    const disturbed = Object.fromEntries(addresses.map(address => [address, state]))
    const before = this.behaviour(from)
    this.set(from, { ...before, links: { ...before.links, ...disturbed } })
    return () => {
      const { links, ...others } = this.behaviour(from)
      const kept = Object.entries(links).filter(([address]) => !addresses.includes(address))
      this.set(from, { ...others, links: Object.fromEntries(kept) })
    }
  }

  /// The open connections from one node to others go silent for good.
  silence (from: SystemNode, to: readonly SystemNode[]): void {
    send(from, { kind: 'silence', addresses: to.flatMap(listAddresses) })
  }

  /// Tells a process that has just been started how its machine behaves.
  restore (node: SystemNode): void {
    if (this.behaviours.has(node)) this.set(node, this.behaviour(node))
  }

  private behaviour (node: SystemNode): MachineBehaviour {
    return this.behaviours.get(node) ?? usualBehaviour
  }

  private set (node: SystemNode, behaviour: MachineBehaviour): void {
    this.behaviours.set(node, behaviour)
    send(node, { kind: 'behaviour', behaviour })
  }
}

function listAddresses ({ callersAddress, peerPort }: SystemNode): string[] {
  return [callersAddress, `127.0.0.1:${peerPort}`]
}

function send ({ process }: SystemNode, message: MachineMessage): void {
  if (process.connected) process.send(message, () => {})
}
