export { freePorts } from './ports.js'
export { StandinSystem, configuration, tokensPerEvent } from './system.js'
export type { SystemNode, SystemOptions } from './system.js'
