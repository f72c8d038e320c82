export { pause } from './pause.js'
export { StallWatch } from './stallwatch.js'
