import { beforeEach, expect, test } from 'vitest'
import { busy, countExecutions, idle, listEntry, upstreams } from './relaypair.js'
import { withWorkspaces } from './workspaces.js'

beforeEach(() => {
  listEntry(idle.relayAddress)
  for (const entry of [busy, idle]) entry.adaptConfiguration = withWorkspaces
})

// Guards against relayed calls that nobody authenticates, or whose key an instance or a log line gets.
test.each<[string, string, Record<string, string>, number, readonly (string | undefined)[]]>([
  ['a known key', '/charge/1', { authorization: 'Bearer key-red', tenant: 'blue' }, 200, ['red', undefined]],
  ['an unknown key', '/charge/1', { authorization: 'Bearer key-unknown' }, 401, []],
  ['no key', '/charge/1', {}, 401, []],
  ['a public route', '/check/1', { authorization: 'Bearer key-red' }, 200, [undefined, undefined]]
])('a relayed call is authenticated where it is served: %s', async (_, path, headers, status, sent) => {
  expect((await busy.call(path, headers)).status).toBe(status)
  expect([countExecutions(), busy.relay.count]).toEqual([[0, status === 200 ? 1 : 0], 1])
  const executed = upstreams[3]!.executedRequests
  expect(executed.flatMap(request => [request.headers.tenant, request.headers.authorization])).toEqual(sent)
  expect(JSON.stringify([busy.log.events, idle.log.events])).not.toMatch(/key-(red|unknown)/)
})

test('a relayed call with a key that only the other entry may lack is refused with 503', async () => {
  idle.mayBeOutdated = true
  expect((await busy.call('/charge/1', { authorization: 'Bearer key-new' })).status).toBe(503)
})
