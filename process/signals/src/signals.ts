import type { EventEmitter } from 'node:events'

/// What a signal asks of the process.
export const SignalUse = {
  /// Stop in order.
  stop: 'stop',
  /// Read the settings file again.
  reload: 'reload',
  /// Nothing: the signal has no meaning here, and must not end the process.
  none: 'none'
} as const

export type SignalUse = typeof SignalUse[keyof typeof SignalUse]

/// The signals whose default action would end the process. Not listed are those that can't be caught, those that the
/// runtime itself uses (SIGPIPE, SIGUSR1), and those that report a fault of the process's own code.
export const signalUses = {
  SIGTERM: SignalUse.stop,
  SIGINT: SignalUse.stop,
  SIGQUIT: SignalUse.stop,
  SIGHUP: SignalUse.reload,
  SIGUSR2: SignalUse.none,
  SIGALRM: SignalUse.none,
  SIGVTALRM: SignalUse.none,
  SIGIO: SignalUse.none,
  SIGXCPU: SignalUse.none,
  SIGXFSZ: SignalUse.none,
  ...(process.platform === 'linux' ? { SIGPWR: SignalUse.none, SIGSTKFLT: SignalUse.none } : {})
} as const satisfies Partial<Record<NodeJS.Signals, SignalUse>>

export type SignalName = keyof typeof signalUses

/// A signal that the process has received.
export interface ReceivedSignal {
  readonly name: SignalName
  readonly use: SignalUse
}

type SignalListener = (signal: ReceivedSignal) => void

/// The signals of this process. From its construction on none of them ends the process; they are held until
/// someone listens.
export class ProcessSignals {
  private readonly held: ReceivedSignal[] = []
  private readonly listeners = new Map<SignalUse, SignalListener>()

  constructor (source: Pick<EventEmitter, 'on'> = process) {
    for (const [name, use] of Object.entries(signalUses) as [SignalName, SignalUse][]) {
      source.on(name, () => this.receive({ name, use }))
    }
  }

  /// Calls `listener` for each signal of this use, also for those received before. Replaces an earlier listener.
  listen (use: SignalUse, listener: SignalListener): void {
    this.listeners.set(use, listener)
    for (const signal of this.held.splice(0)) this.receive(signal)
  }

  private receive (signal: ReceivedSignal): void {
    const listener = this.listeners.get(signal.use)
    if (listener === undefined) this.held.push(signal)
    else listener(signal)
  }
}

const registryKey = Symbol.for('chicorynotch.process-signals')

/// The signals of this process. The launcher and the daemon's bundle each contain this module; they share one object.
export function getProcessSignals (): ProcessSignals {
  const registry = globalThis as { [registryKey]?: ProcessSignals }
  registry[registryKey] ??= new ProcessSignals()
  return registry[registryKey]
}
