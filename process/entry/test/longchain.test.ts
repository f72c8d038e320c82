import { randomBytes } from 'node:crypto'
import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { request } from 'undici'
import { StandinSystem, buildDaemon } from '#standin/system'
import type { SystemNode } from '#standin/system'

// Guards against a chain that was accepted and can't be read back (review/8). Real processes, with as much memory as
// the smallest machines have: an entry that has none of the longest chain in its cache reads it from storage, several
// times at once.

const memoryMb = { entry: 178, storage: 220 }
/// What V8 chooses by itself on a machine with so much memory.
const heapArguments = ['--max-old-space-size=89', '--max-semi-space-size=1']
const turnBytes = 4 * 1024 * 1024
/// With their outputs, and one more turn as long, they are longer than a prompt may be.
const longTurns = 5
const deadlineMs = 4000
const readersAtOnce = 4

let folder: string
let system: StandinSystem
let previousTurn = ''

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'chicorynotch-bundle-'))
  system = new StandinSystem({
    command: await buildDaemon(folder),
    nodeArguments: heapArguments,
    memoryMb,
    entries: 2,
    storages: 3,
    engines: 2,
    services: 0
  })
  await system.start()
  for (let i = 0; i < longTurns; i++) {
    const [id, status] = await send(0, previousTurn, Buffer.alloc(turnBytes, 97 + i))
    expect(status).toBe(200)
    previousTurn = id
  }
}, 60_000)

afterAll(async () => {
  await system.stop()
  await rm(folder, { recursive: true, force: true })
})

/// Sends a turn to an entry. Resolves to its id and the status of its response, which is 0 if that isn't whole.
async function send (entry: number, previous: string, body: Buffer | string): Promise<[string, number]> {
  const id = randomBytes(8).toString('hex')
  const response = await request(`http://${system.entries[entry]!.callersAddress}/chat/1`, {
    method: 'POST',
    headers: {
      host: 'demo.example',
      'attempt-id': id,
      'deadline-ms': String(deadlineMs),
      ...(previous === '' ? {} : { 'previous-turn': previous })
    },
    body
  })
  const isWhole = await response.body.arrayBuffer().then(() => true, () => false)
  return [id, isWhole ? response.statusCode : 0]
}

/// The most memory that a process has had.
async function readPeakMb (node: SystemNode): Promise<number> {
  const status = await readFile(`/proc/${node.process.pid}/status`, 'latin1')
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)![1]) / 1024
}

async function assertWithinMemory (): Promise<void> {
  for (const node of system.nodes) expect(await readPeakMb(node), node.name).toBeLessThan(memoryMb[node.role])
}

function countLost (): number {
  return system.nodes.flatMap(({ outputLines }) => outputLines).filter(line => line.includes('"member-lost"')).length
}

test('a turn that makes the chain too long is refused for good', async () => {
  for (let i = 0; i < 3; i++) expect((await send(i % 2, previousTurn, Buffer.alloc(turnBytes, 'x')))[1]).toBe(413)
})

test('an entry that has none of the chain in its cache reads it from storage', async () => {
  await system.restart(system.entries[0]!, 'SIGKILL', false)
  await system.waitUntilReady()
  expect((await send(0, previousTurn, 'next'))[1]).toBe(200)
  expect(countLost()).toBe(0)
  await assertWithinMemory()
})

test('turns that go on from the chain at once: each is served or refused as busy, and no process exceeds its memory', async () => {
  await system.restart(system.entries[0]!, 'SIGKILL', false)
  await system.waitUntilReady()
  const sent = await Promise.all(Array.from({ length: readersAtOnce }, () => send(0, previousTurn, 'next')))
  const statuses = sent.map(([, status]) => status)
  expect(statuses).toContain(200)
  expect(statuses.filter(status => status !== 200 && status !== 503)).toEqual([])
  expect((await send(0, previousTurn, 'next'))[1]).toBe(200)
  expect(countLost()).toBe(0)
  await assertWithinMemory()
})
