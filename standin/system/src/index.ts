export { findFreePorts } from './ports.js'
export { StandinSystem, createConfiguration, tokensPerEvent } from './system.js'
export type { SystemNode, SystemOptions } from './system.js'
export { throttle } from './throttle.js'
