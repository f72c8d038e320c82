import { request } from 'undici'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { sleep } from '#process/clock'
import { noopLog } from '#process/log'
import { Metrics } from '#process/metrics'
import { WorkspaceQuotas, noTolerance } from '#process/quota'
import { StandinUpstream, UpstreamFault } from '#standin/upstream'
import type { Workspaces } from '#version/configuration'
import { parseConfiguration } from '#platform'
import { createConfiguration } from '#standin/system'
import { EntryHarness } from './harness.js'
import type { CallResult, TestConfiguration } from './harness.js'
import { withWorkspaces } from './workspaces.js'

// Guards against calls over the quota that run, and against credit that is lost with calls that did not run.

const red = { authorization: 'Bearer key-red' }
const blue = { authorization: 'Bearer key-blue' }
/// So slow that no credit accrues during a test.
const slowRatePerS = 0.001
/// Fills the bucket at once.
const fastRatePerS = 10_000

let entry: EntryHarness
let engine: StandinUpstream
let tool: StandinUpstream
let quotas: WorkspaceQuotas[]

beforeEach(async () => {
  engine = new StandinUpstream({ id: 'models-0', eventCount: 4, firstByteDelayMs: 1, eventIntervalMs: 1 })
  tool = new StandinUpstream({ id: 'tools-0', eventCount: 0, firstByteDelayMs: 1, eventIntervalMs: 0 })
  const instances = [{ id: 'models-0', address: await engine.listen() }, { id: 'tools-0', address: await tool.listen() }]
  entry = new EntryHarness(instances)
  quotas = createPair()
  entry.quotas = quotas[0]!
  await entry.listen()
})

afterEach(async () => {
  for (const upstream of [engine, tool]) upstream.close()
  await entry.close()
  for (const each of quotas) each.stop()
})

/// Two entries that exchange datagrams without sockets.
function createPair (): WorkspaceQuotas[] {
  const members = ['entry-0', 'entry-1'].map((name, i) => ({ name, address: `127.0.0.1:${i + 1}` }))
  const pair: WorkspaceQuotas[] = members.map((own, i) => new WorkspaceQuotas({
    entries: { own, others: members.filter(member => member !== own) },
    tolerance: noTolerance,
    send: fields => {
      const text = JSON.stringify(fields)
      setImmediate(() => pair[1 - i]!.receive(JSON.parse(text), own.address))
    }
  }, noopLog, new Metrics()))
  return pair
}

function adapt (spec: TestConfiguration, ratePerS: number, burst: number): TestConfiguration {
  const [first, ...others] = withWorkspaces(spec).tenants as object[]
  return { ...withWorkspaces(spec), tenants: [{ ...first, rate_per_s: ratePerS, burst }, ...others] }
}

function configure (ratePerS: number, burst: number): Workspaces {
  entry.adaptConfiguration = spec => adapt(spec, ratePerS, burst)
  const spec = entry.adaptConfiguration(createConfiguration(1) as TestConfiguration)
  const { workspaces } = parseConfiguration({ name: 'main', revision: 1, spec, status: null })
  for (const each of quotas) each.setWorkspaces(workspaces)
  return workspaces!
}

/// Gives workspace red credit for so many calls and no more.
async function limitTo (burst: number): Promise<void> {
  const options = { isContinuing: true, maxWaitMs: 1000, signal: new AbortController().signal }
  const credit = await quotas[0]!.acquire(configure(fastRatePerS, burst).get('red')!, options)
  credit.spend()
  await sleep(20)
  configure(slowRatePerS, burst)
}

function setFault (fault: UpstreamFault): void {
  for (const upstream of [engine, tool]) upstream.fault = fault
}

const countRuns = (): number => engine.executedRequests.length + tool.executedRequests.length

function call (path: string, headers: Record<string, string> = red): Promise<CallResult> {
  return entry.call(path, headers)
}

async function callAll (paths: readonly string[]): Promise<number[]> {
  const statuses: number[] = []
  for (const path of paths) statuses.push((await call(path)).status)
  return statuses
}

test.each(['/charge/1', '/query/1', '/chat/1'])('a call of %s over the quota gets 429 and reaches no instance', async path => {
  await limitTo(1)
  expect(await callAll([path])).toEqual([200])
  const runs = countRuns()
  const { status, headers, body } = await call(path)
  expect([status, countRuns() - runs, headers.connection]).toEqual([429, 0, 'keep-alive'])
  expect(Number(headers['retry-after'])).toBeGreaterThan(0)
  expect(JSON.parse(body).error).toMatchObject({ code: 'over-quota', verdict: 'not-run' })
})

// Guards against two calls on one credit, too: the third call must not run.
test.each<[string, () => void, Record<string, string>]>([
  ['its instance is full until its deadline', () => { setFault(UpstreamFault.full) }, { 'deadline-ms': '300' }],
  ['its ledger is away', () => { entry.ledger.isUnavailable = true }, { 'program-id': 'p', 'token-budget': '70', 'token-usage': '1,1' }],
  ['its key is removed while it waits for an instance', () => {
    const { placement } = entry
    const acquire = placement.acquire.bind(placement)
    vi.spyOn(placement, 'acquire').mockImplementationOnce(async (...args) => {
      const lease = await acquire(...args)
      entry.adaptConfiguration = spec => ({ ...withWorkspaces(spec), tenants: [] })
      return lease
    })
  }, {}]
])('a call that has not run gives its credit back: %s', async (_, fail, headers) => {
  await limitTo(1)
  const { adaptConfiguration } = entry
  fail()
  const refused = await call('/query/1', { ...red, ...headers })
  expect(JSON.parse(refused.body).error).toMatchObject({ verdict: 'not-run' })
  expect([refused.status === 429, countRuns()]).toEqual([false, 0])
  setFault(UpstreamFault.none)
  entry.ledger.isUnavailable = false
  entry.adaptConfiguration = adaptConfiguration
  expect(await callAll(['/query/1', '/query/1'])).toEqual([200, 429])
})

// Guards against credit that callers who go away take with them.
test('a caller that disconnects while its call waits for an instance gives its credit back', async () => {
  await limitTo(1)
  const { placement } = entry
  const acquire = placement.acquire.bind(placement)
  const aborted = new AbortController()
  const disconnected = vi.spyOn(placement, 'acquire').mockImplementationOnce(async (...args) => {
    aborted.abort()
    await sleep(100)
    return acquire(...args)
  })
  const headers = { host: 'demo.example', 'attempt-id': 'gone', 'deadline-ms': '5000', ...red }
  const sent = request(`http://${entry.address}/query/1`, { method: 'POST', headers, body: 'x', signal: aborted.signal })
  await expect(sent).rejects.toThrow()
  await vi.waitFor(() => expect(entry.drain.count).toBe(0))
  expect([disconnected.mock.calls.length, countRuns()]).toEqual([1, 0])
  expect(await callAll(['/query/1', '/query/1'])).toEqual([200, 429])
})

// Guards against a wait that outlasts its caller, and against credit that is granted to a call that is gone.
test('a caller that disconnects while its call waits for credit', async () => {
  await limitTo(1)
  const open = await quotas[0]!.acquire(configure(slowRatePerS, 1).get('red')!, {
    isContinuing: true, maxWaitMs: 0, signal: new AbortController().signal
  })
  configure(1, 1)
  const aborted = new AbortController()
  const acquire = quotas[0]!.acquire.bind(quotas[0]!)
  vi.spyOn(quotas[0]!, 'acquire').mockImplementationOnce((workspace, options) => {
    setTimeout(() => aborted.abort(), 50)
    return acquire(workspace, { ...options, maxWaitMs: 5000 })
  })
  const headers = { host: 'demo.example', 'attempt-id': 'gone', 'deadline-ms': '5000', ...red }
  const sent = request(`http://${entry.address}/charge/1`, { method: 'POST', headers, body: 'x', signal: aborted.signal })
  await expect(sent).rejects.toThrow()
  await vi.waitFor(() => expect(entry.drain.count).toBe(0), { timeout: 500 })
  open.giveBack()
  expect(await callAll(['/charge/1'])).toEqual([200])
  expect(countRuns()).toBe(1)
})

test('a public route and a workspace without a quota need no credit', async () => {
  await limitTo(1)
  expect(await callAll(['/charge/1', '/charge/1'])).toEqual([200, 429])
  const statuses = [await call('/check/1'), await call('/check/1', {}), await call('/charge/1', blue)].map(({ status }) => status)
  expect(statuses).toEqual([200, 200, 200])
})

test('public routes and workspaces without a quota ask nobody for credit', async () => {
  configure(slowRatePerS, 1)
  const acquire = vi.spyOn(quotas[0]!, 'acquire')
  for (const [path, headers] of [['/check/1', red], ['/charge/1', blue]] as const) await call(path, headers)
  expect(acquire).not.toHaveBeenCalled()
})

// Guards against calls that run without counting.
test.each<[string, string, UpstreamFault]>([
  ['a call whose response is lost', '/charge/1', UpstreamFault.responseLost],
  ['a turn whose response is broken off', '/chat/1', UpstreamFault.broken]
])('%s keeps its credit spent', async (_, path, fault) => {
  await limitTo(1)
  setFault(fault)
  await call(path).catch(() => 'broken off')
  expect(countRuns()).toBeGreaterThan(0)
  setFault(UpstreamFault.none)
  expect(await callAll([path])).toEqual([429])
})
