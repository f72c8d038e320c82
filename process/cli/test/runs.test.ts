import { expect, test } from 'vitest'
import { findRuns, parseLogLines, runCli } from '#process/cli'
import { parseConfigurationText } from '#platform'

/// A log of one process: event names with their fields, each 100 ms after the one before.
type Log = readonly (readonly [string, object?])[]

const toText = (log: Log, node = 'e1'): string => log.map(([msg, fields], i) => {
  return JSON.stringify({ level: 30, time: i * 100, node, role: 'entry', event: 100, ...fields, msg })
}).join('\n')

const started: Log[number] = ['process-started', { pid: 7 }]
const stopping: Log[number] = ['process-stopping', { signal: 'SIGTERM', callsInFlight: 3 }]
const startAfter = (how: string, fields: object = {}): Log[number] => ['previous-run-ended', { how, ...fields }]
const firstStart = startAfter('no-record')

const cases: readonly (readonly [string, Log, readonly object[]])[] = [
  ['told to stop', [firstStart, started, stopping, ['process-stopped', { reason: 'SIGTERM', exitCode: 0, callsAborted: 1 }]],
    [{ pid: 7, end: 'stopped', signal: 'SIGTERM', readyMs: 100, stoppingMs: 200, callsInFlight: 3, callsAborted: 1 }]],
  ['told to stop before it was ready', [firstStart, stopping, ['process-stopped', { reason: 'SIGTERM', exitCode: 0 }]],
    [{ end: 'stopped', readyMs: null }]],
  ['a failed stop', [firstStart, started, stopping, ['process-stopped', { reason: 'Error: bug', exitCode: 1 }]],
    [{ end: 'exited', reason: 'Error: bug', exitCode: 1 }]],
  ['a failed disk, then a start', [firstStart, started, ['process-stopped', { reason: 'EIO', exitCode: 1 }], startAfter('exited'), started],
    [{ end: 'exited', reason: 'EIO', nextStart: { how: 'exited' } }, { end: 'open', pid: 7 }]],
  ['two failed starts', [firstStart, ['start-failed', { reason: 'EADDRINUSE' }], startAfter('exited'), ['process-stopped', { reason: 'EADDRINUSE', exitCode: 1 }]],
    [{ end: 'not-started', reason: 'EADDRINUSE' }, { end: 'not-started', reason: 'EADDRINUSE', exitCode: 1 }]],
  ['a failed start with both lines', [firstStart, ['start-failed', { reason: 'EADDRINUSE' }], ['process-stopped', { exitCode: 1 }], startAfter('exited')],
    [{ end: 'not-started', exitCode: 1 }, { end: 'open' }]],
  ['a kill while it ran', [firstStart, started, ['call-finished'], startAfter('unknown-running', { pid: 7, residentMb: 199 }), started],
    [{ end: 'unknown-running', lastLineMs: 200, nextStart: { how: 'unknown-running', pid: 7, residentMb: 199 } }, { end: 'open' }]],
  ['a kill before its first line', [firstStart, startAfter('unknown-starting', { pid: 9 }), started],
    [{ end: 'unknown-starting', pid: 9, readyMs: null }, { end: 'open' }]],
  ['a kill while it stopped', [firstStart, started, stopping, startAfter('unknown-stopping', { reason: 'SIGTERM' })],
    [{ end: 'unknown-stopping', signal: 'SIGTERM', exitCode: null }, { end: 'open' }]],
  ['logs from before previous-run-ended', [started, ['call-finished'], started, stopping, ['process-stopped'], started],
    [{ end: 'unknown' }, { end: 'stopped' }, { end: 'open' }]]
]

test.each(cases)('finds the end of each run: %s', (_, log, runs) => {
  const found = findRuns(parseLogLines(toText(log)))
  expect(found).toHaveLength(runs.length)
  expect(found).toMatchObject(runs)
})

async function runEnds (input: string, ...args: string[]): Promise<{ code: number, output: string }> {
  let output = ''
  const write = (text: string): void => { output += text }
  const io = { readInput: () => input, write, fetchText: async () => '', parseConfiguration: parseConfigurationText }
  return { code: await runCli(['ends', ...args], io), output }
}

test('ends prints a line for each run of all processes', async () => {
  const killed: Log = [firstStart, started, startAfter('unknown-running', { lastSeenMsAgo: 900, residentMb: 199, memoryLimitMb: 200 })]
  const stopped: Log = [firstStart, started, stopping, ['process-stopped', { reason: 'SIGTERM', exitCode: 0, callsAborted: 0 }]]
  const { code, output } = await runEnds(`${toText(killed)}\n${toText(stopped, 's1')}`)
  expect(code).toBe(0)
  expect(output.replaceAll(/ +/g, ' ').split('\n')).toEqual([
    '00:00:00.000 e1 pid 7 unknown-running ready after 100 ms; last line at 00:00:00.100; next start: unknown-running, last seen 900 ms before with 199 of 200 MB',
    '00:00:00.000 s1 pid 7 stopped ready after 100 ms; SIGTERM at 00:00:00.200, last line 100 ms later, 3 calls in flight, 0 aborted; exit status 0',
    '00:00:00.200 e1 pid ? open never ready; last line at 00:00:00.200',
    ''
  ])
})

test('ends --json prints the runs, and its exit code is 1 without any', async () => {
  expect(JSON.parse((await runEnds(toText([started]), '--json')).output)).toMatchObject([{ node: 'e1', end: 'open' }])
  expect((await runEnds('no log')).code).toBe(1)
})
