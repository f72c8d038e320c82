import { once } from 'node:events'
import { mkdir, mkdtemp, rename, rm, rmdir, symlink, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, beforeAll, expect, test, vi } from 'vitest'
import { StandinSystem, buildDaemon } from '#standin/system'
import type { SystemNode } from '#standin/system'

// Guards against storage instances that exited at each start since something in their data folder couldn't be read.

let folder: string
let system: StandinSystem

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'chicorynotch-bundle-'))
  const command = await buildDaemon(folder)
  system = new StandinSystem({ command, entries: 0, storages: 3, engines: 0, services: 0 })
  await system.start()
}, 30_000)

afterAll(async () => {
  await system.stop()
  await rm(folder, { recursive: true, force: true })
})

/// Puts something else in the place of a file. Returns a function that puts the file back.
async function replace (path: string, put: () => Promise<unknown>): Promise<() => Promise<void>> {
  await rename(path, `${path}.aside`)
  await put()
  return async () => {
    await rm(path, { recursive: true, force: true })
    await rename(`${path}.aside`, path)
  }
}

type Disturb = (dataDir: string) => Promise<() => Promise<void>>

const disturbances: readonly (readonly [string, Disturb])[] = [
  ['a segment cannot be read', async dataDir => {
    const segment = join(dataDir, 'segment-00000001')
    return await replace(segment, () => symlink(segment, segment))
  }],
  ['the identity cannot be read', async dataDir => {
    const identity = join(dataDir, 'identity')
    return await replace(identity, () => mkdir(identity))
  }],
  ['a file is in the place of the folder', dataDir => replace(dataDir, () => writeFile(dataDir, ''))]
]

async function restartDisturbed (disturb: Disturb): Promise<{ node: SystemNode, repair: () => Promise<void> }> {
  const [node] = system.storages
  if (node!.process.exitCode === null) {
    const exited = once(node!.process, 'exit')
    node!.process.kill('SIGKILL')
    await exited
  }
  const repair = await disturb(node!.dataDir)
  node!.outputLines.length = 0
  await system.restart(node!, 'SIGKILL', false)
  await vi.waitFor(() => expect(findEvent(node!, 'disk-awaited')).not.toBe(''), 10_000)
  return { node: node!, repair }
}

function findEvent (node: SystemNode, name: string): string {
  return node.outputLines.find(line => line.includes(`"msg":"${name}"`)) ?? ''
}

test.each(disturbances)('%s: the process waits, and serves once it can', async (_, disturb) => {
  const { node, repair } = await restartDisturbed(disturb)
  expect(findEvent(node, 'disk-opened')).toBe('')
  await repair()
  await vi.waitFor(() => expect(findEvent(node, 'process-started')).not.toBe(''), 10_000)
  expect(findEvent(node, 'disk-opened')).toContain('"isNew":false')
  await system.waitUntilReady()
  expect(node.process.exitCode).toBe(null)
}, 30_000)

test.each(disturbances)('%s: SIGTERM ends the process with status 0', async (_, disturb) => {
  const { node, repair } = await restartDisturbed(disturb)
  const exited = once(node.process, 'exit')
  node.process.kill('SIGTERM')
  expect(await exited).toEqual([0, null])
  await repair()
}, 30_000)

test('a folder with the name of a later segment: the process starts, and says so', async () => {
  const [node] = system.storages
  const stray = join(node!.dataDir, 'segment-00000900')
  await mkdir(stray)
  node!.outputLines.length = 0
  await system.restart(node!, 'SIGKILL', false)
  await vi.waitFor(() => expect(findEvent(node!, 'process-started')).not.toBe(''), 10_000)
  expect(findEvent(node!, 'disk-entry-ignored')).toContain('segment-00000900')
  await rmdir(stray)
}, 20_000)
