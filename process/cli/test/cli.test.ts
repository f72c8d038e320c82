import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, test } from 'vitest'
import { runCli } from '#process/cli'
import { parseConfigurationText } from '#platform'
import { createConfiguration } from '#standin/system'

const log = [
  '   0.5 e1 {"level":30,"time":100,"node":"e1","event":500,"callId":"c1","programId":"p","instanceId":"i","msg":"call-dispatched"}',
  '{"level":40,"time":150,"node":"e1","event":330,"member":"s1","msg":"member-lost"}',
  '{"level":40,"time":160,"node":"e2","event":330,"member":"s1","msg":"member-lost"}',
  '{"level":40,"time":180,"node":"e1","event":332,"of":"append","ids":["c1"],"answered":1,"msg":"quorum-missed"}',
  '{"level":40,"time":200,"node":"e1","event":502,"callId":"c1","programId":"p","refusal":"ledger-unavailable","durationMs":120,"msg":"call-refused"}',
  '{"level":30,"time":300,"node":"e2","event":501,"callId":"c2","programId":"p","status":200,"durationMs":50,"msg":"call-finished"}',
  '{"level":40,"time":305,"node":"e1","event":502,"callId":"c4","programId":"r","previousTurnId":"c2","refusal":"busy","msg":"call-refused"}',
  '{"level":30,"time":310,"node":"e2","event":501,"callId":"c3","programId":"q"'
].join('\n')

const metrics = '# a comment\nchicorynotch_calls_under_way 3\nchicorynotch_answers_total{status="200"} 41\nchicorynotch_call_ms_count 41\n'

async function fetchText (url: string): Promise<string> {
  if (!url.startsWith('http://up:1/')) throw new Error('connection refused')
  return metrics
}

const entry = (at: string, site: string, worth: number, rules: object): string => JSON.stringify({
  at: [at, at],
  cmd: 'score',
  site,
  days: [{ name: 'd', G: worth, score: 0.5, served: 1, rules, gate: true, prices: [['disk', 1, 0.01], ['processor', 9, 0.02]] }]
})

async function run (...args: string[]): Promise<{ code: number, output: string }> {
  let output = ''
  const write = (text: string): void => { output += text }
  const io = { readInput: () => log, write, fetchText, parseConfiguration: parseConfigurationText }
  const code = await runCli(args, io)
  return { code, output }
}

test('explain prints the lines of a call and the state changes of its process meanwhile', async () => {
  const { code, output } = await run('explain', 'c1', '--json')
  expect(code).toBe(0)
  expect(JSON.parse(output).map((line: { name: string, node: string }) => `${line.node} ${line.name}`))
    .toEqual(['e1 call-dispatched', 'e1 member-lost', 'e1 quorum-missed', 'e1 call-refused'])
})

test('explain of a turn prints the calls that go on from it', async () => {
  const { output } = await run('explain', 'c2', '--json', '--around-ms', '0')
  expect(JSON.parse(output).map((line: { name: string, node: string }) => `${line.node} ${line.name}`))
    .toEqual(['e2 call-finished', 'e1 call-refused'])
})

test('timeline draws the calls of a program in all processes', async () => {
  const { output } = await run('timeline', 'p')
  expect(output.split('\n').filter(line => line !== '').map(line => line.split(' ')[0])).toEqual(['c1', 'c2'])
  expect(output).toContain('call-refused ledger-unavailable')
})

test('timeline --html prints a self-contained page with a bar for each call', async () => {
  const { code, output } = await run('timeline', 'p', '--html')
  expect(code).toBe(0)
  expect(output.match(/<rect /g)).toHaveLength(2)
  expect(output).not.toMatch(/(src|href)=/)
})

test.each([
  [['explain', 'nobody'], 1],
  [['timeline', 'nobody'], 1],
  [['dance'], 2],
  [[], 2],
  [['check', '/nonexistent'], 1],
  [['check'], 2],
  [['check', 'configuration'], 2],
  [['check', 'configuration', '/nonexistent'], 1]
])('exit code of %j is %i', async (args, code) => {
  expect((await run(...args)).code).toBe(code)
})

const validSettings = `[node]
name = "e1"
role = "entry"
zone = "z"
ip = "127.0.0.1"
first_start = true
tolerated_losses = 1
[listen]
callers = "127.0.0.1:80"
readiness = "127.0.0.1:81"
peer_port = 82
metrics_port = 83
[store]
address = "127.0.0.1:84"
[timing]
stop_grace_ms = 8000
drain_ms = 2000
catch_up_ms = 4900
heartbeat_ms = 1200
`

test.each([
  ['sound', validSettings, 0, 'valid, role entry'],
  ['an unknown key', validSettings.replace('zone =', 'zoen ='), 1, 'node.zoen: unknown key'],
  ['a wrong type', validSettings.replace('8000', '"long"'), 1, 'timing.stop_grace_ms: found "long": expected number'],
  ['an unknown role', validSettings.replace('"entry"', '"king"'), 1, 'node.role: found "king": expected one of entry, sidecar, storage'],
  ['a missing key that the role requires', validSettings.replace('callers = "127.0.0.1:80"\n', ''), 1, 'listen.callers: an entry needs an address'],
  ['invalid TOML', '[node', 1, '']
])('check: %s', async (_, text, code, expected) => {
  const folder = mkdtempSync(join(tmpdir(), 'cli-'))
  writeFileSync(join(folder, 's.toml'), text)
  const result = await run('check', join(folder, 's.toml'))
  rmSync(folder, { recursive: true })
  expect(result.code).toBe(code)
  expect(result.output).toContain(expected)
})

const configuration = createConfiguration(2) as { routes: object[], services: object[] }

test.each<[string, string, string | null, number, string]>([
  ['a valid file', JSON.stringify(configuration), null, 0, 'c.json: valid, version 2\n'],
  ['an object of the store', JSON.stringify({ metadata: {}, spec: configuration }), null, 0, 'c.json: valid, version 2\n'],
  ['what differs', JSON.stringify(configuration), JSON.stringify({ ...configuration, version: 1, routes: configuration.routes.slice(1) }), 0, 'differs: route chat: added\n'],
  ['a problem', JSON.stringify({ ...configuration, routes: [] }), null, 1, 'c.json: service models: no route names it\n'],
  ['a service that is listed twice', JSON.stringify({ ...configuration, services: [...configuration.services, ...configuration.services.slice(0, 1)] }), null, 1, 'c.json: service models: is listed more than once, the last one counts\n'],
  ['a burst without a rate', JSON.stringify({ ...configuration, tenants: [{ name: 'red', api_keys: ['secret'], burst: 4 }] }), null, 1, 'c.json: workspace red: has a burst but no rate, so it has no quota\n'],
  ['a rate without a burst', JSON.stringify({ ...configuration, tenants: [{ name: 'red', api_keys: ['secret'], rate_per_s: 4 }] }), null, 1, 'c.json: workspace red: has a quota of 4 requests per second and no burst\n'],
  ['an error', JSON.stringify({ ...configuration, routes: 1 }), null, 1, 'c.json: routes is not an array\n'],
  ['no JSON, without the text', '{"api_keys":["secret",}', null, 1, 'c.json: the file is not JSON\n'],
  ['an error in the version in force', JSON.stringify(configuration), '{', 1, 'f.json: the file is not JSON\n']
])('check configuration: %s', async (_, text, inForce, code, expected) => {
  const folder = mkdtempSync(join(tmpdir(), 'cli-'))
  writeFileSync(join(folder, 'c.json'), text)
  if (inForce !== null) writeFileSync(join(folder, 'f.json'), inForce)
  const options = inForce === null ? [] : ['--in-force', join(folder, 'f.json')]
  const result = await run('check', 'configuration', join(folder, 'c.json'), ...options)
  rmSync(folder, { recursive: true })
  expect(result.code).toBe(code)
  expect(result.output).toContain(expected)
  expect(result.output).not.toContain('secret')
})

test('status prints the metrics of each process and returns 1 if one does not respond', async () => {
  const { code, output } = await run('status', 'up:1', 'gone:1')
  expect(code).toBe(1)
  expect(output).toBe('up:1 calls_under_way=3 answers_total{status="200"}=41\ngone:1 no response: connection refused\n')
})

test('report lists days in order of time with broken rules and largest losses', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'cli-'))
  const files = [entry('2026-02', 'a', 0.5, {}), entry('2026-01', 'a', -0.1, { MIXED: 8 }), entry('2026-03', 'b', 1, {})].map((text, i) => {
    const file = join(folder, `${i}.json`)
    writeFileSync(file, text)
    return file
  })
  const { code, output } = await run('report', '--site', 'a', ...files)
  rmSync(folder, { recursive: true })
  expect(code).toBe(0)
  const lines = output.trim().split('\n')
  expect(lines[0]).toMatch(/^2026-01 a .* -0\.100 broken MIXED; processor 0\.020, disk 0\.010$/)
  expect(lines[1]).toMatch(/^2026-02 a .*\|#{15} {15}\| 0\.500 gate;/)
  expect(lines).toHaveLength(2)
})

// yargs ran the handler despite invalid arguments, and the undefined id matched every line without a call id.
test.each([['explain'], ['timeline'], ['status'], ['report'], ['explain', '--dance', 'c1']])('invalid arguments run no command: %s %s', async (...args) => {
  const { code, output } = await run(...args.filter(arg => arg !== undefined))
  expect(code).toBe(2)
  expect(output.split('\n')).toHaveLength(2)
})
