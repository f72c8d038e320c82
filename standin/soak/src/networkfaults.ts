import { sleep } from '#process/clock'
import { usualLink } from '#standin/machine'
import type { LinkState } from '#standin/machine'
import { StoreFault } from '#standin/store'
import type { SystemNode } from '#standin/system'
import type { DisturbanceContext } from './disturbancecontext.js'

const minMs = 500
const maxMs = 6000
const minDelayMs = 10
const maxDelayMs = 250
/// Of the cuts of one machine, so many are in one direction only.
const oneWayShare = 0.4
/// Machines that the store doesn't serve meanwhile.
const unservedShare = 0.3
const storeFaults = [StoreFault.silent, StoreFault.reset, StoreFault.busy, StoreFault.limited]
const sendingCut: LinkState = { ...usualLink, isSendingCut: true }
const receivingCut: LinkState = { ...usualLink, isReceivingCut: true }
const bothCut: LinkState = { ...usualLink, isSendingCut: true, isReceivingCut: true }

type Undo = () => void

/// What goes wrong between machines, and between single ones and the store.
export class NetworkFaults {
  constructor (private readonly context: DisturbanceContext) {}

  readonly actions: readonly (() => Promise<void>)[] = [
    () => this.cutOne(),
    () => this.cutOne(),
    () => this.split(),
    () => this.cutFromStore(),
    () => this.silence(),
    () => this.delay()
  ]

  /// One machine is cut from all others, both ways or one way.
  private async cutOne (): Promise<void> {
    const { system, random } = this.context
    const node = random.pick(system.nodes)
    const others = system.nodes.filter(other => other !== node)
    if (random.next() >= oneWayShare) return await this.cut([node], others, true)
    await (random.next() < 0.5 ? this.cut([node], others, false) : this.cut(others, [node], false))
  }

  private async split (): Promise<void> {
    const { system, random } = this.context
    const halves: [SystemNode[], SystemNode[]] = [[], []]
    for (const node of system.nodes) random.pick(halves).push(node)
    await this.cut(...halves, true)
  }

  /// What one side sends doesn't reach the other one, nor the other way round if `isMutual`.
  private async cut (from: readonly SystemNode[], to: readonly SystemNode[], isMutual: boolean): Promise<void> {
    const { machines } = this.context
    const [ownState, otherState] = isMutual ? [bothCut, bothCut] : [sendingCut, receivingCut]
    const text = `${formatNames(from)} cut from ${formatNames(to)}${isMutual ? '' : ', one way'}`
    await this.last(findOnlyEntry(from) ?? findOnlyEntry(to), text, () => from.flatMap(node => to.flatMap(other => [
      machines.disturbLink(node, other, ownState), machines.disturbLink(other, node, otherState)
    ])))
  }

  /// The store serves others meanwhile.
  private async cutFromStore (): Promise<void> {
    const { system, random } = this.context
    const fault = random.pick(storeFaults)
    const nodes = system.nodes.filter(() => random.next() < unservedShare)
    const { clientFaults } = system.store
    await this.last(findOnlyEntry(nodes), `the store is ${fault} to ${formatNames(nodes)}`, () => nodes.map(node => {
      clientFaults.set(node.localAddress, fault)
      return () => { clientFaults.delete(node.localAddress) }
    }))
  }

  /// Open connections go silent for good, while new ones work. By the rules this concerns all machines.
  private async silence (): Promise<void> {
    const { system, machines, log, random } = this.context
    const from = random.pick(system.nodes)
    const to = system.nodes.filter(other => other !== from && random.next() < 0.5)
    log.add('unplanned', null, 0, `connections of ${from.name} to ${formatNames(to)} go silent`)
    machines.silence(from, to)
  }

  private async delay (): Promise<void> {
    const { system, machines, random } = this.context
    const node = random.pick(system.nodes)
    const delayMs = Math.round(random.between(minDelayMs, maxDelayMs))
    const others = system.nodes.filter(other => other !== node)
    const state = { ...usualLink, delayMs }
    const text = `links of ${node.name} are slower by ${delayMs} ms`
    await this.last(findOnlyEntry([node]), text, () => others.flatMap(other => [
      machines.disturbLink(node, other, state), machines.disturbLink(other, node, state)
    ]))
  }

  private async last (entry: SystemNode | null, text: string, act: () => readonly Undo[]): Promise<void> {
    const durationMs = this.context.random.between(minMs, maxMs)
    this.context.log.add('unplanned', entry, durationMs, `${text} for ${Math.round(durationMs)} ms`)
    const undos = act()
    await sleep(durationMs)
    for (const undo of undos) undo()
  }
}

/// The entry that a disturbance concerns, null if it concerns others, too.
function findOnlyEntry (nodes: readonly SystemNode[]): SystemNode | null {
  const [node] = nodes
  return nodes.length === 1 && node!.role === 'entry' ? node! : null
}

function formatNames (nodes: readonly SystemNode[]): string {
  return nodes.length === 0 ? 'none' : nodes.map(({ name }) => name).join(', ')
}
