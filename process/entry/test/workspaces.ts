import type { TestConfiguration } from './harness.js'

/// Adds two workspaces to a configuration, and makes one of its routes public.
export function withWorkspaces (spec: TestConfiguration, publicRoute = 'check'): TestConfiguration {
  return {
    ...spec,
    routes: spec.routes.map(route => route.name === publicRoute ? { ...route, public: true } : route),
    tenants: [{ name: 'red', api_keys: ['key-red'], priority: 0 }, { name: 'blue', api_keys: ['key-blue'] }]
  }
}
