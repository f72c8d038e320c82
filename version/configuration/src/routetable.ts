import type { Configuration, Route } from './configuration.js'

/// Finds the route of a request: the longest prefix of its path at its host.
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>()

  constructor (readonly configuration: Configuration) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase()
      const routes = this.byHost.get(host)
      if (routes === undefined) this.byHost.set(host, [route])
      else routes.push(route)
    }
    for (const routes of this.byHost.values()) routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  }

  find (host: string, path: string): Route | null {
    const query = path.indexOf('?')
    const plain = query < 0 ? path : path.slice(0, query)
    const routes = this.byHost.get(withoutPort(host).toLowerCase())
    return routes?.find(route => plain.startsWith(route.pathPrefix)) ?? null
  }
}

/// Picks one of a route's targets by weight, the same one for the same key.
export function pickTarget (route: Route, key: string): string {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0)
  let rest = unitHash(key) * total
  for (const target of route.targets) {
    rest -= target.weight
    if (rest < 0) return target.service
  }
  return route.targets[route.targets.length - 1]!.service
}

/// Hashes text to a number in [0, 1), with FNV-1a and a final mix.
export function unitHash (text: string): number {
  let hash = 0x811c9dc5
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return ((hash ^ (hash >>> 16)) >>> 0) / 0x100000000
}

function withoutPort (host: string): string {
  const colon = host.lastIndexOf(':')
  return colon < 0 ? host : host.slice(0, colon)
}
