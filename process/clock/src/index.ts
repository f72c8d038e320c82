export { sleep } from './sleep.js'
export { StallDetector } from './stalldetector.js'
