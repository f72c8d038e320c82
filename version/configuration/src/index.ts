export { RouteKind } from './configuration.js'
export type { CallerLimits, Configuration, Engine, Quota, Route, RouteTarget, Service, Workspace } from './configuration.js'
export { RouteTable, pickTarget, unitHash } from './routetable.js'
export { Workspaces } from './workspaces.js'
