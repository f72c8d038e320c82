export { InstanceSpeed } from './instancespeed.js'
