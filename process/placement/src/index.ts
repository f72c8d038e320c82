export { chooseInstance, findUncachedTokens } from './choice.js'
export type { PlacementRequest } from './choice.js'
export { Placement } from './placement.js'
export type { InstanceLease } from './placement.js'
