export { chooseInstance } from './choice.js'
export type { PlacementNeed } from './choice.js'
export { Placement } from './placement.js'
export type { Place } from './placement.js'
