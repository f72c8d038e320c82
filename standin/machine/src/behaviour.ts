/// What a machine's link to an address does. A cut loses nothing of a connection: it goes on when the cut is over.
export interface LinkState {
  readonly isSendingCut: boolean
  readonly isReceivingCut: boolean
  /// What sending takes longer.
  readonly delayMs: number
}

/// How the machine behaves that a process runs on.
export interface MachineBehaviour {
  /// What each sync takes longer.
  readonly syncDelayMs: number
  /// Whether there is no room for further bytes and files.
  readonly isDiskFull: boolean
  /// What the time of day is ahead of the true one.
  readonly clockAheadMs: number
  /// By the address, HOST:PORT. Links to others are as usual.
  readonly links: Readonly<Record<string, LinkState>>
}

/// What whoever starts the process sends to it.
export type MachineMessage =
  | { readonly kind: 'behaviour', readonly behaviour: MachineBehaviour }
  /// The connections to these addresses that are open now go silent for good, without a reset.
  | { readonly kind: 'silence', readonly addresses: readonly string[] }

export const usualBehaviour: MachineBehaviour = { syncDelayMs: 0, isDiskFull: false, clockAheadMs: 0, links: {} }
export const usualLink: LinkState = { isSendingCut: false, isReceivingCut: false, delayMs: 0 }
