import type { Configuration, Route } from './configuration.js'

/// Finds the route of a call: the one with the longest matching path prefix at the call's host.
export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>()

  constructor (readonly configuration: Configuration) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase()
      const routes = this.routesByHost.get(host)
      if (routes === undefined) this.routesByHost.set(host, [route])
      else routes.push(route)
    }
    for (const routes of this.routesByHost.values()) routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  }

  find (host: string, path: string): Route | null {
    const queryIndex = path.indexOf('?')
    const pathWithoutQuery = queryIndex < 0 ? path : path.slice(0, queryIndex)
    const routes = this.routesByHost.get(removePort(host).toLowerCase())
    return routes?.find(route => pathWithoutQuery.startsWith(route.pathPrefix)) ?? null
  }
}

/// Picks one of a route's targets by weight and returns its service. The same key always picks the same target.
export function pickTarget (route: Route, key: string): string {
  const totalWeight = route.targets.reduce((sum, target) => sum + target.weight, 0)
  let remaining = unitHash(key) * totalWeight
  for (const target of route.targets) {
    remaining -= target.weight
    if (remaining < 0) return target.service
  }
  return route.targets[route.targets.length - 1]!.service
}

/// Hashes a string to a number in [0, 1): FNV-1a, followed by MurmurHash3's finalizer.
export function unitHash (text: string): number {
  let hash = 0x811c9dc5
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return ((hash ^ (hash >>> 16)) >>> 0) / 0x100000000
}

function removePort (host: string): string {
  const colon = host.lastIndexOf(':')
  return colon < 0 ? host : host.slice(0, colon)
}
