export { DisturbanceGroup } from './disturber.js'
export { runSoak } from './soak.js'
export type { SoakOptions, SoakReport } from './soak.js'
