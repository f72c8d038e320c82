import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, rm } from 'node:fs/promises'
import { request } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { text } from 'node:stream/consumers'
import { afterAll, beforeAll, expect, test, vi } from 'vitest'
import { StandinSystem, buildDaemon } from '#standin/system'

let folder: string
let command: readonly string[]
let system: StandinSystem
const successors: ChildProcess[] = []

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'chicorynotch-bundle-'))
  command = await buildDaemon(folder)
  system = new StandinSystem({ command, entries: 2, storages: 3, engines: 1, services: 1 })
  await system.start()
}, 60_000)

afterAll(async () => {
  for (const successor of successors) successor.kill('SIGKILL')
  await system.stop()
  await rm(folder, { recursive: true, force: true })
})

/// Starts a process beside the one with the same settings, and resolves when it waits for its port.
async function startSuccessor (dataDir: string): Promise<void> {
  const settings = join(dirname(dataDir), 'settings.toml')
  const successor = spawn(command[0]!, command.slice(1), { env: { ...process.env, CHICORYNOTCH_CONFIG: settings } })
  successors.push(successor)
  let output = ''
  successor.stdout.on('data', (chunk: Buffer) => { output += chunk.toString() })
  await vi.waitFor(() => expect(output).toMatch(/listen-failed.*"peers"|"peers".*listen-failed/), 8000)
}

async function callTurn (entry: number, id: string, headers: Record<string, string>): Promise<[number, string]> {
  const [host, port] = system.entries[entry]!.callersAddress.split(':')
  const fields = { host: 'demo.example', 'attempt-id': id, 'program-id': 'p', 'deadline-ms': '3000', ...headers }
  const call = request({ host, port, method: 'POST', path: '/chat/1', headers: fields })
  call.end(`${id};`)
  const [response] = await once(call, 'response') as [IncomingMessage]
  return [response.statusCode!, await text(response)]
}

// Guards against turns that were answered whole and not found: a storage instance read its disk, and then waited for
// the port of the process before it, which went on writing to that disk.
test('a turn that is stored while the next process waits for the port is found afterwards', async () => {
  for (const { dataDir } of system.storages) await startSuccessor(dataDir)
  expect((await callTurn(0, 't1', {}))[0]).toBe(200)
  for (const storage of system.storages) {
    const ended = once(storage.process, 'exit')
    storage.process.kill('SIGKILL')
    await ended
  }
  await vi.waitFor(async () => {
    const [status, body] = await callTurn(1, `t${performance.now()}`, { 'previous-turn': 't1' })
    expect([status, status === 200 ? '' : body]).toEqual([200, ''])
  }, { timeout: 12_000, interval: 300 })
}, 60_000)
