export { Configuration } from './schema.js'
export type { Agent, Model, Operation, Service, Team, Upstream } from './schema.js'
export type { ConfigurationView } from './view.js'
