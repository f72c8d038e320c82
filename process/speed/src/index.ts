export { InstanceSpeed } from './instancespeed.js'
export type { SpeedObservations } from './instancespeed.js'
export { ServiceModel } from './servicemodel.js'
export type { ResponseObservation, SpeedSample } from './servicemodel.js'
