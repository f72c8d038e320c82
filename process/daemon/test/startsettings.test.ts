import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdir, mkdtemp, rename, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, afterEach, beforeAll, beforeEach, expect, test, vi } from 'vitest'
import { buildDaemon, findFreePorts } from '#standin/system'

// Guards against processes that exited at their start since their settings file was not there, or not whole yet.

let folder: string
let command: readonly string[]
let settingsFile: string
let ports: number[]
let child: ChildProcess | null = null
let output = ''

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'chicorynotch-bundle-'))
  command = await buildDaemon(folder)
}, 30_000)

beforeEach(async () => {
  settingsFile = join(await mkdtemp(join(folder, 'run-')), 'settings.toml')
  ports = await findFreePorts(5)
})

afterEach(async () => {
  if (child?.exitCode === null && child.signalCode === null) {
    const exited = once(child, 'exit')
    child.kill('SIGKILL')
    await exited
  }
})

afterAll(() => rm(folder, { recursive: true, force: true }))

/// The optional key readiness_path is the last one, and the store doesn't respond.
function createSettings (role: string): string {
  const [callers, readiness, peers, metrics, store] = ports
  return `[node]
name = "node-0"
role = "${role}"
zone = "north"
ip = "127.0.0.1"
first_start = true
tolerated_losses = 1
[store]
address = "127.0.0.1:${store}"
[storage]
data_dir = "${folder}/data"
disk_mb = 100
[timing]
stop_grace_ms = 2000
drain_ms = 2000
catch_up_ms = 4900
heartbeat_ms = 1200
[listen]
peer_port = ${peers}
metrics_port = ${metrics}
callers = "127.0.0.1:${callers}"
readiness = "127.0.0.1:${readiness}"
readiness_path = "/whole"
`
}

function launch (): ChildProcess {
  const [program, ...args] = command
  output = ''
  child = spawn(program!, args, { env: { ...process.env, CHICORYNOTCH_CONFIG: settingsFile } })
  child.stdout!.on('data', text => { output += text })
  child.stderr!.on('data', text => { output += text })
  return child
}

async function expectOutput (text: string): Promise<void> {
  await vi.waitFor(() => expect(output).toContain(text), 10_000)
}

const roles = ['entry', 'storage'] as const
const invalidFiles: readonly (readonly [string, (settings: string) => Promise<unknown>, string])[] = [
  ['missing', async () => {}, 'ENOENT'],
  ['empty', () => writeFile(settingsFile, ''), 'node: found nothing'],
  ['cut inside a line', settings => writeFile(settingsFile, settings.slice(0, 200)), 'Invalid TOML'],
  ['cut between two tables', settings => writeFile(settingsFile, settings.slice(0, settings.indexOf('[listen]'))), 'listen: found nothing'],
  ['a folder', () => mkdir(settingsFile), 'EISDIR']
]
const cases = roles.flatMap(role => invalidFiles.map(([what, put, fault]) => [role, what, put, fault] as const))

test.each(cases)('%s: a settings file that is %s at the start is waited for', async (role, _, put, fault) => {
  const settings = createSettings(role)
  await put(settings)
  const { pid } = launch()
  await expectOutput('"msg":"settings-rejected"')
  expect(output).toContain(fault)
  expect(output).toContain(`"node":"pid-${pid}","role":"unknown"`)
  await rm(settingsFile, { recursive: true, force: true })
  await writeFile(`${settingsFile}.new`, settings)
  await rename(`${settingsFile}.new`, settingsFile)
  await expectOutput('"msg":"process-started"')
  expect(child!.exitCode).toBe(null)
})

test.each(['SIGTERM', 'SIGINT'] as const)('%s while the settings file is waited for: the process exits with status 0, and says so', async signal => {
  launch()
  await expectOutput('"msg":"settings-rejected"')
  const exited = once(child!, 'exit')
  child!.kill(signal)
  expect(await exited).toEqual([0, null])
  expect(output).toContain(`"reason":"${signal}"`)
})
