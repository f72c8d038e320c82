import type { CallerLimits, Configuration, Route, Service } from './configuration.js'
import { RouteKind } from './configuration.js'
import type { Workspaces } from './workspaces.js'

/// A bearer key without spaces, in printable ASCII: others can't be sent.
const sendableKeyPattern = /^[\x21-\x7e]+$/

/// Returns what of a valid configuration can never have an effect, or contradicts itself; one sentence each. Keys are
/// not named.
export function findProblems ({ routes, services, callerLimits, workspaces }: Configuration): string[] {
  return [
    ...routes.flatMap((route, i) => findRouteProblems(route, routes.slice(0, i), services)),
    ...findServiceProblems(services, routes),
    ...findLimitProblems(callerLimits),
    ...workspaces === null ? [] : findWorkspaceProblems(workspaces, routes)
  ]
}

function findRouteProblems (
  route: Route, earlier: readonly Route[], services: ReadonlyMap<string, Service>
): string[] {
  const problems: string[] = []
  const report = (problem: string): void => { problems.push(`route ${route.name}: ${problem}`) }
  if (earlier.some(({ name }) => name === route.name)) report('an earlier route has the same name')
  const hiding = earlier.find(other => isSameTarget(other, route))
  if (hiding !== undefined) report(`never matches, route ${hiding.name} has the same host and path prefix`)
  if (route.host.includes(':')) report('never matches, its host has a port')
  if (!/^\/[^?]*$/.test(route.pathPrefix)) report('never matches, its path prefix is not the beginning of a path')
  if (route.targetLatencyMs > route.timeoutMs) report(`its latency target of ${route.targetLatencyMs} ms is above its timeout of ${route.timeoutMs} ms`)
  if (route.keepsHistory && route.retentionMs === 0) report('keeps a history for 0 s')
  if (route.kind !== RouteKind.streaming) {
    if (route.keepsHistory) report('keeps a history, but is not a streaming route')
    if (route.resumable) report('is resumable, but not a streaming route')
  }
  if (route.targets.length === 0) report('has no service')
  for (const { service, weight } of route.targets) {
    if (!services.has(service)) report(`service ${service} is not described`)
    if (weight === 0) report(`service ${service} has the weight 0`)
  }
  return problems
}

/// Whether two routes match the same requests.
function isSameTarget (a: Route, b: Route): boolean {
  return a.host.toLowerCase() === b.host.toLowerCase() && a.pathPrefix === b.pathPrefix
}

function findServiceProblems (services: ReadonlyMap<string, Service>, routes: readonly Route[]): string[] {
  const used = new Set(routes.flatMap(({ targets }) => targets.map(({ service }) => service)))
  return [...services.values()].flatMap(({ name, engine }) => [
    ...used.has(name) ? [] : [`service ${name}: no route names it`],
    ...engine?.slots === 0 ? [`service ${name}: its engines have no slots`] : []
  ])
}

function findLimitProblems (limits: CallerLimits): string[] {
  return Object.entries(limits).filter(([, value]) => value === 0).map(([name]) => `limits: ${name} is 0`)
}

function findWorkspaceProblems (workspaces: Workspaces, routes: readonly Route[]): string[] {
  const problems: string[] = []
  const names = new Set<string>()
  const holders = new Map<string, string>()
  for (const { name, keys, quota } of workspaces.listed) {
    const report = (problem: string): void => { problems.push(`workspace ${name}: ${problem}`) }
    if (names.has(name)) report('an earlier workspace has the same name')
    names.add(name)
    if (keys.length === 0) report('has no key, so nobody can call for it')
    keys.forEach((key, i) => {
      const holder = holders.get(key)
      if (holder !== undefined) report(`its key ${i + 1} is held by workspace ${holder} already`)
      else holders.set(key, name)
      if (!sendableKeyPattern.test(key)) report(`its key ${i + 1} can't be sent as a bearer key`)
    })
    if (quota?.burst === 0) report(`has a quota of ${quota.ratePerS} requests per second and no burst`)
  }
  if (holders.size === 0 && routes.some(({ isPublic }) => !isPublic)) {
    problems.push('workspaces: there is no key, so only public routes can be called')
  }
  return problems
}
