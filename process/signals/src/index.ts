export { ProcessSignals, SignalUse, getProcessSignals, signalUses } from './signals.js'
export type { ReceivedSignal, SignalName } from './signals.js'
