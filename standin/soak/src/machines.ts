import { usualBehaviour, usualLink } from '#standin/machine'
import type { LinkState, MachineBehaviour, MachineMessage } from '#standin/machine'
import type { SystemNode } from '#standin/system'

type Change = Partial<MachineBehaviour>

/// The machines that processes run on, and what disturbs each now, also after a restart of its process.
export class Machines {
  private readonly changes = new Map<SystemNode, Set<Change>>()

  /// Disturbs a machine until the function that this returns is called.
  disturb (node: SystemNode, change: Change): () => void {
    const own = this.changes.get(node) ?? new Set()
    this.changes.set(node, own.add(change))
    this.restore(node)
    return () => {
      own.delete(change)
      this.restore(node)
    }
  }

  /// Disturbs the link from one node to another until the function that this returns is called.
  disturbLink (from: SystemNode, to: SystemNode, state: LinkState): () => void {
    return this.disturb(from, { links: Object.fromEntries(listAddresses(to).map(address => [address, state])) })
  }

  /// The open connections from one node to others go silent for good.
  silence (from: SystemNode, to: readonly SystemNode[]): void {
    send(from, { kind: 'silence', addresses: to.flatMap(listAddresses) })
  }

  /// Tells a process how its machine behaves now.
  restore (node: SystemNode): void {
    const own = this.changes.get(node)
    if (own !== undefined) send(node, { kind: 'behaviour', behaviour: combine([...own]) })
  }
}

/// What disturbs a machine in several ways at once.
export function combine (changes: readonly Change[]): MachineBehaviour {
  const links: Record<string, LinkState> = {}
  for (const change of changes) {
    for (const [address, state] of Object.entries(change.links ?? {})) {
      links[address] = combineLinks(links[address] ?? usualLink, state)
    }
  }
  return Object.assign({}, usualBehaviour, ...changes, { links })
}

function combineLinks (a: LinkState, b: LinkState): LinkState {
  return {
    isSendingCut: a.isSendingCut || b.isSendingCut,
    isReceivingCut: a.isReceivingCut || b.isReceivingCut,
    delayMs: Math.max(a.delayMs, b.delayMs)
  }
}

function listAddresses ({ callersAddress, peerPort }: SystemNode): string[] {
  return [callersAddress, `127.0.0.1:${peerPort}`]
}

function send ({ process }: SystemNode, message: MachineMessage): void {
  if (process.connected) process.send(message, () => {})
}
