export { RouteKind } from './configuration.js'
export type { CallerLimits, Configuration, Engine, Route, RouteTarget, Service } from './configuration.js'
export { RouteTable, pickTarget, unitHash } from './routetable.js'
