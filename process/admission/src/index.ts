export { Admission } from './admission.js'
export { StartupPhase } from './startupphase.js'
