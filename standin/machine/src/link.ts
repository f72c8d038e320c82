import { usualLink } from './behaviour.js'
import type { LinkState } from './behaviour.js'

/// Something that is sent or read once a link allows it.
type Step = () => void

/// One machine's way to an address.
export class Link {
  private state = usualLink
  private held: Step[] = []
  private readonly listeners = new Set<Step>()

  get canSend (): boolean {
    return !this.state.isSendingCut
  }

  get canReceive (): boolean {
    return !this.state.isReceivingCut
  }

  get delayMs (): number {
    return this.state.delayMs
  }

  /// Called whenever the state may have changed.
  onChange (listener: Step): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  setState (state: LinkState): void {
    this.state = state
    if (this.canSend) for (const step of this.held.splice(0)) step()
    for (const listener of this.listeners) listener()
  }

  /// Takes the step as soon as the link lets something through, in the order of the calls.
  send (step: Step): void {
    if (!this.canSend) this.held.push(step)
    else if (this.delayMs > 0) setTimeout(() => this.canSend ? step() : this.held.push(step), this.delayMs)
    else step()
  }
}
