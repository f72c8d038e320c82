import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { mkdtemp, rm } from 'node:fs/promises'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, afterEach, beforeAll, expect, test, vi } from 'vitest'
import { StandinSystem, buildDaemon } from '#standin/system'
import type { SystemNode } from '#standin/system'

// Guards against processes that exited at their start since another process had one of their ports for a moment.

let folder: string
let system: StandinSystem
/// Frees the port that is taken.
let release: Release = () => {}

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'chicorynotch-bundle-'))
  const command = await buildDaemon(folder)
  system = new StandinSystem({ command, entries: 1, storages: 3, engines: 1, services: 1 })
  await system.start()
}, 30_000)

afterEach(freePort)

afterAll(async () => {
  await system.stop()
  await rm(folder, { recursive: true, force: true })
})

type Release = () => void
type Take = (port: number) => Promise<Release>

const takeTcp: Take = async port => {
  const server = createServer().listen(port, '127.0.0.1')
  await once(server, 'listening')
  return () => server.close()
}

const takeUdp: Take = async port => {
  const socket = createSocket('udp4').bind(port, '127.0.0.1')
  await once(socket, 'listening')
  return () => socket.close()
}

function freePort (): void {
  release()
  release = () => {}
}

const portOf = (address: string): number => Number(address.split(':')[1])

const listeners: readonly (readonly [string, SystemNode['role'], (node: SystemNode) => number, Take, boolean])[] = [
  ['callers', 'entry', node => portOf(node.callersAddress), takeTcp, false],
  ['readiness', 'entry', node => portOf(node.readinessAddress), takeTcp, false],
  ['relay', 'entry', node => node.peerPort, takeTcp, true],
  ['datagrams', 'entry', node => node.peerPort, takeUdp, true],
  ['metrics', 'entry', node => node.metricsPort, takeTcp, true],
  ['peers', 'storage', node => node.peerPort, takeTcp, false],
  ['metrics', 'storage', node => node.metricsPort, takeTcp, true]
]

/// Starts the process of a role while another one has the port.
async function restartWithoutPort (
  listener: string, role: SystemNode['role'], getPort: (node: SystemNode) => number, take: Take
): Promise<SystemNode> {
  const node = system.nodes.find(other => other.role === role)!
  if (node.process.exitCode === null) {
    const exited = once(node.process, 'exit')
    node.process.kill('SIGKILL')
    await exited
  }
  release = await take(getPort(node))
  node.outputLines.length = 0
  await system.restart(node, 'SIGKILL', false)
  await vi.waitFor(() => expect(findEvent(node, 'listen-failed')).toContain(`"listener":"${listener}"`), 10_000)
  return node
}

function findEvent (node: SystemNode, name: string): string {
  return node.outputLines.find(line => line.includes(`"msg":"${name}"`)) ?? ''
}

test.each(listeners)('the port for %s of an %s is taken at the start: it is bound once it is free', async (listener, role, getPort, take, startsWithout) => {
  const node = await restartWithoutPort(listener, role, getPort, take)
  if (startsWithout) {
    await vi.waitFor(() => expect(findEvent(node, 'process-started')).not.toBe(''), 10_000)
    await system.waitUntilReady()
  }
  freePort()
  await vi.waitFor(() => expect(findEvent(node, 'listen-recovered')).toContain(`"listener":"${listener}"`), 10_000)
  await vi.waitFor(() => expect(findEvent(node, 'process-started')).not.toBe(''), 10_000)
  await system.waitUntilReady()
  expect(node.process.exitCode).toBe(null)
}, 30_000)

test.each(listeners)('SIGTERM while the port for %s of an %s is taken: the process exits with status 0', async (listener, role, getPort, take) => {
  const node = await restartWithoutPort(listener, role, getPort, take)
  const exited = once(node.process, 'exit')
  node.process.kill('SIGTERM')
  expect(await exited).toEqual([0, null])
}, 30_000)
