import { execFileSync, spawn } from 'node:child_process'
import { mkdirSync, mkdtempSync, readFileSync, readdirSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, afterEach, beforeEach, expect, test, vi } from 'vitest'
import { sleep } from '#process/clock'
import { PreviousEnd, RunRecord, RunState } from '#process/runrecord'

let folder: string
let path: string
/// Another process; the name of its program has no spaces, so that its start is a plain column of /proc/PID/stat.
const other = spawn('sleep', ['60'])
const opened: RunRecord[] = []

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'chicorynotch-'))
  path = join(folder, 'run-record')
})

afterEach(() => {
  vi.useRealTimers()
  for (const run of opened.splice(0)) run.end('test', 0)
  rmSync(folder, { recursive: true, force: true })
})

afterAll(() => { other.kill() })

function open (): RunRecord {
  const run = RunRecord.open(path, 200)
  opened.push(run)
  return run
}

const readStartTicks = (pid: number): string => readFileSync(`/proc/${pid}/stat`, 'utf8').split(' ')[21]!
const readContents = (): Record<string, unknown> => JSON.parse(readFileSync(path, 'utf8'))
const change = (changes: object): void => writeFileSync(path, JSON.stringify({ ...readContents(), ...changes }))

test.each<[string, (run: RunRecord) => void, object]>([
  ['starting', () => {}, { how: PreviousEnd.unknownStarting }],
  ['ready', run => run.setReady(), { how: PreviousEnd.unknownRunning }],
  ['stopping', run => run.setStopping('SIGTERM'), { how: PreviousEnd.unknownStopping, reason: 'SIGTERM' }],
  ['ready after a stop began', run => { run.setStopping('SIGTERM'); run.setReady() }, { how: PreviousEnd.unknownStopping }],
  ['stopped', run => { run.setStopping('SIGTERM'); run.end('SIGTERM', 0) }, { how: PreviousEnd.stopped, reason: 'SIGTERM', exitCode: 0 }],
  ['exited', run => { run.setReady(); run.end('disk', 1) }, { how: PreviousEnd.exited, reason: 'disk', exitCode: 1 }],
  ['exited while stopping', run => { run.setStopping('SIGTERM'); run.end('bug', 1) }, { how: PreviousEnd.exited, reason: 'bug' }],
  ['ended twice', run => { run.end('first', 1); run.end('second', 0); run.setStopping('third') }, { how: PreviousEnd.exited, reason: 'first' }]
])('the next start tells a run that was last %s', (_, act, previous) => {
  act(open())
  expect(open().previous).toMatchObject({ ...previous, memoryLimitMb: 200, residentMb: expect.any(Number) })
})

test.each<[PreviousEnd, object]>([
  [PreviousEnd.machineRestarted, { bootId: 'another' }],
  [PreviousEnd.unknownRunning, { bootId: null }],
  [PreviousEnd.stillRunning, { pid: other.pid, startTicks: readStartTicks(other.pid!) }],
  // The id of the process was given to another one.
  [PreviousEnd.unknownRunning, { pid: other.pid, startTicks: '1' }],
  // The operating system doesn't tell when a process started.
  [PreviousEnd.unknownRunning, { pid: other.pid, startTicks: null }],
  [PreviousEnd.unreadable, { state: 'dancing' }],
  [PreviousEnd.unreadable, { pid: -1 }]
])('a start says %s after a run with %j', (how, changes) => {
  open().setReady()
  change(changes)
  expect(open().previous.how).toBe(how)
})

test.each<[string, PreviousEnd, () => void]>([
  ['missing', PreviousEnd.noRecord, () => {}],
  ['empty', PreviousEnd.unreadable, () => writeFileSync(path, '')],
  ['zeros', PreviousEnd.unreadable, () => writeFileSync(path, Buffer.alloc(300))],
  ['cut', PreviousEnd.unreadable, () => { open(); writeFileSync(path, readFileSync(path, 'utf8').slice(0, 100)) }],
  ['longer than a record', PreviousEnd.unreadable, () => writeFileSync(path, JSON.stringify({ state: 'x'.repeat(9000) }))],
  ['a folder', PreviousEnd.unreadable, () => mkdirSync(path)],
  ['a symbolic link', PreviousEnd.unreadable, () => symlinkSync('/proc/self/environ', path)],
  ['a pipe that nobody writes to', PreviousEnd.unreadable, () => { execFileSync('mkfifo', [path]) }]
])('a run record that is %s neither fails nor delays a run', (_, how, prepare) => {
  prepare()
  const run = open()
  expect(run.previous.how).toBe(how)
  run.setReady()
  run.end('test', 0)
})

test.each<[string, () => void]>([
  ['a pipe that nobody reads', () => { execFileSync('mkfifo', [`${path}.new`]) }],
  ['a symbolic link', () => { writeFileSync(join(folder, 'other'), 'kept'); symlinkSync(join(folder, 'other'), `${path}.new`) }],
  ['a folder', () => mkdirSync(`${path}.new`)]
])('a run record that cannot be replaced because of %s does not stop a run', (_, prepare) => {
  prepare()
  open().setReady()
  if (readdirSync(folder).includes('other')) expect(readFileSync(join(folder, 'other'), 'utf8')).toBe('kept')
  expect(open().previous.how).toBe(PreviousEnd.noRecord)
})

test('a start tells how many runs in a row ended other than by a stop', () => {
  const count = (): number => open().previous.unplannedEnds
  expect([count(), count(), count()]).toEqual([0, 1, 2])
  open().end('disk', 1)
  expect(count()).toBe(4)
  const run = open()
  run.setStopping('SIGTERM')
  run.end('SIGTERM', 0)
  expect([count(), count()]).toEqual([0, 1])
})

test('a record says each 5 s that the process lives, until its end', async () => {
  vi.useFakeTimers({ now: 1000, toFake: ['Date', 'setInterval', 'clearInterval'] })
  const run = open()
  run.setReady()
  for (const lastSeenAtMs of [6000, 11_000]) {
    vi.advanceTimersByTime(5000)
    while (readContents().lastSeenAtMs !== lastSeenAtMs) await sleep(5)
  }
  expect(readContents()).toMatchObject({ state: RunState.ready, startedAtMs: 1000 })
  vi.advanceTimersByTime(2000)
  run.setStopping('SIGTERM')
  run.end('SIGTERM', 0)
  vi.advanceTimersByTime(20_000)
  expect(open().previous).toMatchObject({ ranMs: 12_000, lastSeenMsAgo: 20_000 })
})

test('a heartbeat under way does not undo a change of the state', async () => {
  vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval'] })
  for (let i = 0; i < 20; i++) {
    const run = open()
    run.setReady()
    vi.advanceTimersByTime(5000)
    if (i % 2 === 0) await sleep(1)
    run.setStopping('SIGTERM')
    run.end('SIGTERM', 0)
    await sleep(3)
    expect(readContents().state).toBe(RunState.stopped)
  }
})

// Guards against a process that ran out of descriptors, and whose stop ended with the failure to note its beginning.
test('without a descriptor to read the memory in use, a run is recorded all the same', () => {
  const run = open()
  const rss = vi.spyOn(process.memoryUsage, 'rss').mockImplementation(() => { throw new Error('EMFILE') })
  try {
    run.setReady()
    run.setStopping('SIGTERM')
    run.end('SIGTERM', 0)
  } finally {
    rss.mockRestore()
  }
  expect(open().previous).toMatchObject({ how: PreviousEnd.stopped, reason: 'SIGTERM', exitCode: 0 })
})
