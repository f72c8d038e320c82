import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { sleep } from '#process/clock'
import { openSettings } from '#process/settings'

const begin = `[node]
name = "e1"
role = "storage"
zone = "z"
ip = "10.0.0.1"
first_start = true
tolerated_losses = 1
[store]
address = "10.0.0.9:84"
[storage]
data_dir = "data"
disk_mb = 10
[timing]
stop_grace_ms = 8000
drain_ms = 2000
catch_up_ms = 4000
heartbeat_ms = 1200
[listen]
peer_port = 82
metrics_port = 83
`
const rest = 'readiness_path = "/whole"\n'
const writeIntervalMs = 10
const writingMs = 600

let folder: string
let path: string

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'settings-'))
  path = join(folder, 'settings.toml')
})

afterEach(() => rmSync(folder, { recursive: true }))

// The timers of the writer and of the reader are those of one event loop, so a busy machine delays both.
test('a file that is being written and is valid already is opened when it is whole', async () => {
  writeFileSync(path, begin)
  const writing = setInterval(() => appendFileSync(path, '# more\n'), writeIntervalMs)
  let isOpen = false
  const opening = openSettings(path, { signal: new AbortController().signal, onRejected: () => {} })
  opening.then(() => { isOpen = true }, () => {})
  await sleep(writingMs)
  expect(isOpen).toBe(false)
  clearInterval(writing)
  appendFileSync(path, rest)
  expect((await opening).settings.listen.readiness_path).toBe('/whole')
})

test('a stop ends the wait for a file that is written without pause', async () => {
  writeFileSync(path, begin)
  const writing = setInterval(() => appendFileSync(path, '# more\n'), writeIntervalMs)
  const stopping = new AbortController()
  const opening = openSettings(path, { signal: stopping.signal, onRejected: () => {} })
  setTimeout(() => stopping.abort('SIGTERM'), writingMs)
  await expect(opening).rejects.toBe('SIGTERM')
  clearInterval(writing)
})
