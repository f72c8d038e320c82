export { losePower } from './loss.js'
