export { StandinSystem, configuration, tokensPerEvent } from './system.js'
export type { SystemNode, SystemOptions } from './system.js'
