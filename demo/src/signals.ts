import { constants } from 'node:os'

const signals = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const
const signalStatusBase = 128

/// Exits at a signal that ends a program, with the conventional status, after the hooks for the exit, which end the
/// processes of the system.
export function exitAtSignals (): void {
  for (const signal of signals) process.on(signal, () => process.exit(signalStatusBase + constants.signals[signal]))
}
