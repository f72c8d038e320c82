import { expect, test } from 'vitest'
import { findDifferences, findProblems } from '#version/configuration'
import type { Configuration } from '#version/configuration'
import { parseConfigurationText } from '#platform'
import { createConfiguration } from '#standin/system'

type Item = Record<string, unknown>
type Spec = Item & { routes: Item[], services: Item[], limits: Item }

const red = { name: 'red', api_keys: ['secret-1'], rate_per_s: 4, burst: 4 }
const blue = { name: 'blue', api_keys: ['secret-2'] }
const create = (): Spec => ({ ...createConfiguration(2) as Spec, tenants: [red, blue] })
const parse = (spec: unknown): Configuration => parseConfigurationText(JSON.stringify(spec)).configuration

/// Changes the first route, which is `chat`.
const withRoute = (fields: Item) => (spec: Spec): Spec => {
  return { ...spec, routes: [{ ...spec.routes[0]!, ...fields }, ...spec.routes.slice(1)] }
}
const withTenants = (...tenants: Item[]) => (spec: Spec): Spec => ({ ...spec, tenants })

// Guards against configurations whose mistakes are found by callers.
test.each<[string, (spec: Spec) => Spec, readonly string[]]>([
  ['nothing', spec => spec, []],
  ['no workspaces', spec => ({ ...spec, tenants: null }), []],
  ['a hidden route', spec => ({ ...spec, routes: [...spec.routes, { ...spec.routes[0]!, name: 'other', hostname: 'Demo.Example' }] }),
    ['route other: never matches, route chat has the same host and path prefix']],
  ['a host with a port', withRoute({ hostname: 'demo.example:80' }), ['route chat: never matches, its host has a port']],
  ['a path prefix with a query', withRoute({ path_prefix: '/chat?' }),
    ['route chat: never matches, its path prefix is not the beginning of a path']],
  ['a latency target above the timeout', withRoute({ timeout_ms: 200 }),
    ['route chat: its latency target of 250 ms is above its timeout of 200 ms']],
  ['a history without retention', withRoute({ retention_s: 0 }), ['route chat: keeps a history for 0 s']],
  ['a history of another kind of route', withRoute({ route_kind: 'idempotent' }),
    ['route chat: keeps a history, but is not a streaming route']],
  ['a service that is not described', withRoute({ service: 'none' }), ['route chat: service none is not described']],
  ['a route without a service', withRoute({ service: undefined, backends: [] }), ['route chat: has no service']],
  ['a service without a route', spec => ({ ...spec, services: [...spec.services, { name: 'spare' }] }),
    ['service spare: no route names it']],
  ['a limit of 0', spec => ({ ...spec, limits: { ...spec.limits, max_body_bytes: 0 } }), ['limits: maxBodyBytes is 0']],
  ['a key of two workspaces', withTenants(red, { ...blue, api_keys: ['b', 'secret-1'] }),
    ['workspace blue: its key 2 is held by workspace red already']],
  ['a key twice in one', withTenants({ ...red, api_keys: ['a', 'a'] }), ['workspace red: its key 2 is held by workspace red already']],
  ['a key with a space', withTenants({ ...red, api_keys: ['a b'] }), ['workspace red: its key 1 can\'t be sent as a bearer key']],
  ['two workspaces of a name', withTenants(red, { ...blue, name: 'red' }), ['workspace red: an earlier workspace has the same name']],
  ['a quota without a burst', withTenants({ ...red, burst: 0 }),
    ['workspace red: has a quota of 4 requests per second and no burst']],
  ['no keys at all', withTenants({ ...red, api_keys: [] }), [
    'workspace red: has no key, so nobody can call for it', 'workspaces: there is no key, so only public routes can be called'
  ]]
])('problems of a configuration with %s', (_, change, expected) => {
  const problems = findProblems(parse(change(create())))
  expect(problems).toEqual(expected)
  expect(problems.join()).not.toContain('secret')
})

test.each<[string, (spec: Spec) => Spec, readonly string[]]>([
  ['nothing but the version', spec => spec, []],
  ['the same version', spec => ({ ...spec, version: 1 }),
    ['version 1 is not above version 1, which is in force: entries will ignore it']],
  ['a route', withRoute({ name: 'talk' }), ['route chat: removed', 'route talk: added']],
  ['a field of a route', withRoute({ timeout_ms: 3000 }), ['route chat: timeoutMs from 4000 to 3000']],
  ['a limit', spec => ({ ...spec, limits: { ...spec.limits, max_body_bytes: 9 } }), ['limits: maxBodyBytes from 4194304 to 9']],
  ['the key and quota of a workspace', withTenants({ ...red, api_keys: ['secret-3'], burst: 5 }, blue), [
    'workspace red: quota from {"ratePerS":4,"burst":4} to {"ratePerS":4,"burst":5}', 'workspace red: keys added: 1, removed: 1'
  ]],
  ['a workspace', withTenants(red, { ...blue, name: 'green' }), ['workspace blue: removed', 'workspace green: added']],
  ['the end of workspaces', spec => ({ ...spec, tenants: null }), ['workspaces: calls need no key any more']]
])('differences from the version in force: %s', (_, change, expected) => {
  const differences = findDifferences(parse({ ...create(), version: 1 }), parse(change(create())))
  expect(differences).toEqual(expected)
  expect(differences.join()).not.toContain('secret')
})
