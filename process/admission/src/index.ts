export { Admission } from './admission.js'
export { RefusedTurns } from './refusedturns.js'
export { StartupPhase } from './startupphase.js'
