import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { request } from 'undici'
import type { LedgerRecord } from '#connection/rpc'
import { PlatformStore, parseConfiguration, parseInstance, platformHeaders } from '#platform'
import { Entry } from '#process/entry'
import { Metrics } from '#process/metrics'
import { StandinStore, StoreFault } from '#standin/store'
import { createConfiguration, findFreePorts } from '#standin/system'
import { StandinUpstream } from '#standin/upstream'
import { EntryHarness } from './harness.js'
import type { TestConfiguration } from './harness.js'
import { RecordingLog } from './recordinglog.js'
import { withWorkspaces } from './workspaces.js'

// Guards against calls without a key of the configuration, keys that leave the entry, and turns and tokens that
// workspaces share.

const applyTimeoutMs = 3000
const red = { authorization: 'Bearer key-red' }
const blue = { authorization: 'Bearer key-blue' }
const stranger = { authorization: 'Bearer key-unknown' }

let entry: EntryHarness
let engine: StandinUpstream
let tool: StandinUpstream
let toolAddress: string
/// What the entry has logged and responded.
let written: string[]

beforeEach(async () => {
  written = []
  engine = new StandinUpstream({ id: 'models-0', eventCount: 4, firstByteDelayMs: 1, eventIntervalMs: 1 })
  tool = new StandinUpstream({ id: 'tools-0', eventCount: 0, firstByteDelayMs: 1, eventIntervalMs: 0 })
  toolAddress = await tool.listen()
  const instances = [{ id: 'models-0', address: await engine.listen() }, { id: 'tools-0', address: toolAddress }]
  entry = new EntryHarness(instances)
  entry.adaptConfiguration = withWorkspaces
  await entry.listen()
})

afterEach(async () => {
  vi.restoreAllMocks()
  for (const upstream of [engine, tool]) upstream.close()
  await entry.close()
  expect([...written, JSON.stringify(entry.log.events)].join('\n')).not.toMatch(/key-(red|blue|unknown)/)
})

async function call (path: string, headers: Record<string, string>): Promise<number> {
  const response = await entry.call(path, headers)
  written.push(JSON.stringify(response))
  return response.status
}

const sentHeaders = (): unknown[] => [...engine.executedRequests, ...tool.executedRequests].map(({ headers }) => {
  return [headers.tenant, headers.authorization]
})

test.each<[string, string, Record<string, string>, number, unknown[]]>([
  ['a known key', '/charge/1', red, 200, [['red', undefined]]],
  ['a turn with a known key', '/chat/1', blue, 200, [['blue', undefined]]],
  ['a known key and a forged workspace', '/charge/1', { ...red, Tenant: 'blue' }, 200, [['red', undefined]]],
  ['an unknown key', '/charge/1', stranger, 401, []],
  ['no key', '/charge/1', {}, 401, []],
  ['no key and a forged workspace', '/charge/1', { tenant: 'red' }, 401, []],
  ['another scheme', '/charge/1', { authorization: 'Basic key-red' }, 401, []],
  ['a public route', '/check/1', {}, 200, [[undefined, undefined]]],
  ['a public route, a key and a forged workspace', '/check/1', { ...red, tenant: 'blue' }, 200, [[undefined, undefined]]],
  ['no route, no key', '/none/1', {}, 404, []]
])('%s', async (_, path, headers, status, expected) => {
  expect(await call(path, headers)).toBe(status)
  expect(sentHeaders()).toEqual(expected)
})

test('a refusal for its key names the scheme, says that the call has not run, and keeps the connection', async () => {
  const { headers, body } = await entry.call('/charge/1', stranger)
  expect([headers['www-authenticate'], headers.connection]).toEqual(['Bearer', 'keep-alive'])
  expect(JSON.parse(body).error).toMatchObject({ code: 'unauthorized', verdict: 'not-run' })
})

// Guards against work for each call that only unknown keys need.
test.each<[string, boolean, Record<string, string>, number, number]>([
  ['there are no workspaces', false, red, 200, 0],
  ['the key is known', true, red, 200, 0],
  ['the key is unknown', true, stranger, 401, 1]
])('whether the configuration may be out of date is found out only for an unknown key: %s', async (_, has, headers, status, count) => {
  if (!has) entry.adaptConfiguration = spec => spec
  const getMayBeOutdated = vi.spyOn(entry, 'mayBeOutdated', 'get')
  expect(await call('/charge/1', headers)).toBe(status)
  expect(getMayBeOutdated).toHaveBeenCalledTimes(count)
})

test('without workspaces credentials are forwarded, a workspace is not', async () => {
  entry.adaptConfiguration = spec => spec
  expect(await call('/charge/1', { authorization: 'Basic x', tenant: 'red' })).toBe(200)
  expect(sentHeaders()).toEqual([[undefined, 'Basic x']])
})

test('the priority of the workspace goes before that of the route', async () => {
  const acquire = vi.spyOn(entry.placement, 'acquire')
  for (const headers of [red, blue]) await call('/charge/1', headers)
  expect(acquire.mock.calls.map(([{ workspace, priority }]) => [workspace, priority])).toEqual([['red', 0], ['blue', 2]])
})

test('a key that is removed while its call waits for an instance: the call is not sent, the instance is free again', async () => {
  const { placement } = entry
  const acquire = placement.acquire.bind(placement)
  vi.spyOn(placement, 'acquire').mockImplementation(async (...args) => {
    const lease = await acquire(...args)
    entry.adaptConfiguration = spec => ({ ...withWorkspaces(spec), tenants: [] })
    return lease
  })
  expect(await call('/charge/1', red)).toBe(401)
  expect([sentHeaders(), [...entry.registry.readyInstances('tools')].map(({ running }) => running)]).toEqual([[], [0]])
})

test('a turn that has begun goes on when its key is removed', async () => {
  engine.onRun = () => { entry.adaptConfiguration = spec => ({ ...withWorkspaces(spec), tenants: [] }) }
  expect([await call('/chat/1', red), await call('/chat/1', red)]).toEqual([200, 401])
})

test('previous turns of other workspaces are unknown: the last one, one before it, and to callers without a key', async () => {
  await call('/chat/1', { ...red, 'attempt-id': 'red-1' })
  expect(await call('/chat/1', { ...blue, 'previous-turn': 'red-1' })).toBe(404)
  expect(await call('/chat/1', { ...red, 'attempt-id': 'red-2', 'previous-turn': 'red-1' })).toBe(200)
  const { records } = entry.ledger
  expect(records.get('3/red-2')?.workspace).toBe('red')
  const add = (id: string, fields: Partial<LedgerRecord>): void => {
    records.set(`3/${id}`, { ...records.get('3/red-2')!, id, ...fields })
  }
  add('mixed', { workspace: 'blue', previousId: 'red-2' })
  add('old', { workspace: undefined, previousId: '' })
  expect(await call('/chat/1', { ...blue, 'previous-turn': 'mixed' })).toBe(404)
  expect(await call('/chat/1', { ...blue, 'previous-turn': 'old' })).toBe(200)
  entry.adaptConfiguration = spec => withWorkspaces(spec, 'chat')
  expect(await call('/chat/1', { 'previous-turn': 'red-2' })).toBe(404)
  expect(engine.executedRequests.length).toBe(3)
})

test('two workspaces with the same program id have a token budget each', async () => {
  const program = { 'program-id': 'p', 'token-budget': '70', 'token-usage': '10,40' }
  const statuses: number[] = []
  for (const key of [red, red, red, blue, blue, blue]) statuses.push(await call('/query/1', { ...program, ...key }))
  expect(statuses).toEqual([200, 200, 402, 200, 200, 402])
})

test('keys of new versions of the configuration, and an unknown key while the store is lost', async () => {
  const store = new StandinStore()
  const log = new RecordingLog()
  const addresses = (await findFreePorts(3)).map(port => `127.0.0.1:${port}`)
  const [callersAddress, relayAddress, readinessAddress] = addresses as [string, string, string]
  const options = { callersAddress, relayAddress, readinessAddress, readinessPath: '/readyz' }
  const limits = { processors: 1, memoryMb: null, toleratedLosses: 1, stopGraceMs: 100 }
  const platformStore = new PlatformStore(await store.listen(), log, new Metrics())
  const platform = { headers: platformHeaders, store: platformStore, parseConfiguration, parseInstance }
  const loop = { currentDelayMs: 0, meanDelayMs: 0 }
  const started = new Entry({ name: 'entry-0', zone: 'z', ...options, ...limits }, platform, log, new Metrics(), loop)
  const send = async (headers: Record<string, string>): Promise<[number, boolean]> => {
    const fields = { host: 'demo.example', 'attempt-id': `a${written.length}`, 'deadline-ms': '1500', ...headers }
    const response = await request(`http://${callersAddress}/charge/1`, { method: 'POST', headers: fields, body: 'x' })
    written.push(await response.body.text())
    return [response.statusCode, response.headers['retry-after'] !== undefined]
  }
  const expectSoon = (headers: Record<string, string>, status: number): Promise<void> => {
    const check = async (): Promise<void> => expect((await send(headers))[0]).toBe(status)
    return vi.waitFor(check, { timeout: applyTimeoutMs, interval: 20 })
  }
  const configure = (version: number, adapt: (spec: TestConfiguration) => unknown): void => {
    store.put('config', 'main', adapt(createConfiguration(version) as TestConfiguration))
  }
  try {
    const server = { service: 'tools', address: toolAddress, zone: 'z', slots: 8, state: 'ready' }
    store.put('servers', 'tools-0', server)
    await started.start()
    expect(await send(stranger)).toEqual([503, true])
    configure(1, withWorkspaces)
    await expectSoon(red, 200)
    expect(await send(stranger)).toEqual([401, false])
    const tenants = [{ name: 'blue', api_keys: ['key-blue', 'key-unknown'] }]
    configure(2, spec => ({ ...withWorkspaces(spec), tenants }))
    await expectSoon(red, 401)
    expect(await send(stranger)).toEqual([200, false])
    store.fault = StoreFault.reset
    store.compactHistory()
    await expectSoon(red, 503)
    expect([await send(red), await send({}), await send(blue)]).toEqual([[503, true], [401, false], [200, false]])
    store.fault = StoreFault.none
    await expectSoon(red, 401)
  } finally {
    await started.stop()
    store.close()
    written.push(JSON.stringify(log.events))
  }
})
