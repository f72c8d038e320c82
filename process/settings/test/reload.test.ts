import { EventEmitter } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { ReloadTime, SettingsFile, parseSettings, reloadTimes } from '#process/settings'
import type { Settings } from '#process/settings'
import { ProcessSignals } from '#process/signals'
import type { EventFields, EventKind, EventLog } from '#process/log'

const text = `[node]
name = "e1"
role = "entry"
zone = "z"
ip = "10.0.0.1"
first_start = true
processor_share = 0.5
processor_speed = 2
memory_mb = 350
max_descriptors = 4100
tolerated_losses = 1
[listen]
callers = "10.0.0.1:80"
readiness = "10.0.0.1:81"
readiness_path = "/ready"
peer_port = 82
metrics_port = 83
[store]
address = "10.0.0.9:84"
[storage]
data_dir = "data"
disk_mb = 10
[engine]
address = "10.0.0.1:85"
[quota]
window_ms = 5e3
overshoot_share = 0.1
slack_requests = 20
[timing]
stop_grace_ms = 8000
drain_ms = 2000
catch_up_ms = 4000
heartbeat_ms = 1200
`

class RecordingLog implements EventLog {
  readonly lines: { name: string, fields: EventFields }[] = []

  event (kind: EventKind, fields: EventFields = {}): void {
    this.lines.push({ name: kind.name, fields })
  }
}

let folder: string
let path: string
let log: RecordingLog
let applied: Settings[]
let signalSource: EventEmitter
let file: SettingsFile

beforeEach(() => {
  vi.useFakeTimers()
  folder = mkdtempSync(join(tmpdir(), 'settings-'))
  path = join(folder, 'settings.toml')
  writeFileSync(path, text)
  log = new RecordingLog()
  applied = []
  file = new SettingsFile(path)
  signalSource = new EventEmitter()
  file.watch(settings => applied.push(settings), log, new ProcessSignals(signalSource))
})

afterEach(() => {
  vi.useRealTimers()
  rmSync(folder, { recursive: true })
})

const triggers = [
  ['with SIGHUP', () => { signalSource.emit('SIGHUP') }],
  ['without a signal', () => { vi.advanceTimersByTime(5000) }]
] as const

const edits: readonly (readonly [string, readonly (readonly [string, string])[], string, readonly string[]])[] = [
  ['another address of the store', [['10.0.0.9:84', '10.0.0.8:84']], 'settings-reloaded', ['store.address']],
  ['several keys', [['10.0.0.9:84', '10.0.0.8:84'], ['stop_grace_ms = 8000', 'stop_grace_ms = 6000']],
    'settings-reloaded', ['store.address', 'timing.stop_grace_ms']],
  ['a key that is read at the start only', [['first_start = true', 'first_start = false']], 'settings-reloaded', []],
  ['a comment', [['[store]', '# the store\n[store]']], 'settings-reloaded', []],
  ['a key that needs a restart, and another one', [['"10.0.0.1:80"', '"10.0.0.1:90"'], ['10.0.0.9:84', '10.0.0.8:84']],
    'settings-pending', []],
  ['an unknown key, and a valid change', [['[store]', '[store]\nport = 1'], ['stop_grace_ms = 8000', 'stop_grace_ms = 1']],
    'settings-rejected', []],
  ['a port out of range', [['10.0.0.9:84', '10.0.0.9:70000']], 'settings-rejected', []],
  ['half of its text', [[text.slice(200), '']], 'settings-rejected', []]
]

test.each(triggers.flatMap(([when, trigger]) => edits.map(edit => [edit[0], when, edit, trigger] as const)))(
  'a file with %s is handled as a whole, and logged once, %s', (_, __, [, replacements, event, changed], trigger) => {
    const before = file.settings
    writeFileSync(path, replacements.reduce((result, [from, to]) => result.replace(from, to), text))
    trigger()
    expect(log.lines.map(line => line.name)).toEqual([event])
    if (event === 'settings-reloaded') expect(log.lines[0]!.fields.changed).toEqual(changed)
    expect(applied.length).toBe(changed.length > 0 ? 1 : 0)
    const expected = event === 'settings-reloaded' ? parseSettings(path, readFileSync(path, 'utf8')) : before
    expect(file.settings).toEqual(expected)
  }
)

test('a file that is removed is rejected once; a valid one that replaces it takes effect', () => {
  rmSync(path)
  vi.advanceTimersByTime(10_000)
  writeFileSync(path, text.replace('8000', '7000'))
  vi.advanceTimersByTime(3000)
  expect(log.lines.map(line => line.name)).toEqual(['settings-rejected', 'settings-reloaded'])
  expect(file.settings.timing.stop_grace_ms).toBe(7000)
})

test('a file that is still being written is not read', () => {
  for (let length = 100; length < text.length; length += 100) {
    writeFileSync(path, text.slice(0, length))
    vi.advanceTimersByTime(1000)
  }
  writeFileSync(path, text)
  vi.advanceTimersByTime(3000)
  expect(log.lines).toEqual([])
})

test('each key has a time at which a change takes effect, listed in docs/OPERATIONS.md', () => {
  const settings = parseSettings(path, text) as unknown as Record<string, Record<string, unknown>>
  const keys = Object.entries(settings).flatMap(([table, fields]) => Object.keys(fields).map(key => `${table}.${key}`))
  expect(Object.keys(reloadTimes).sort()).toEqual(keys.sort())
  const page = readFileSync('docs/OPERATIONS.md', 'utf8')
  const names: Record<ReloadTime, string> = { 'at-once': 'at once', 'at-start': 'read at the start only', restart: 'at the next start' }
  for (const [key, time] of Object.entries(reloadTimes)) expect(page).toMatch(new RegExp(`\`${key}\`[^|]*\\| ${names[time]}`))
})

test('a SIGHUP that came between the start and the watch reads the file again', () => {
  const source = new EventEmitter()
  const signals = new ProcessSignals(source)
  const early = new SettingsFile(path)
  writeFileSync(path, text.replace('8000', '7000'))
  source.emit('SIGHUP')
  early.watch(() => {}, log, signals)
  expect(early.settings.timing.stop_grace_ms).toBe(7000)
})
