import { once } from 'node:events'
import { readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { join, resolve } from 'node:path'
import { afterAll, beforeAll, beforeEach, describe, expect, test, vi } from 'vitest'
import { StandinSystem } from '#standin/system'
import type { SystemNode } from '#standin/system'
import { sendTurn } from '../../entry/test/turns.js'

// Real processes that end in several ways, and what the next start says about that.

const system = new StandinSystem({
  command: [process.execPath, '--import', 'tsx', '--conditions=source', 'platform/src/main.ts'],
  nodeArguments: ['--require', resolve('process/daemon/test/processfaults.cjs')],
  entries: 1,
  storages: 3,
  engines: 1,
  services: 1
})

const timeoutMs = 15_000

beforeAll(() => system.start(), 30_000)
afterAll(() => system.stop())

interface PreviousRunLine { readonly how: string, readonly reason: string | null, readonly pid: number }

/// What each start of a process said about the run before it.
function getPreviousRuns ({ outputLines }: SystemNode): PreviousRunLine[] {
  return outputLines.filter(line => line.includes('"msg":"previous-run-ended"')).map(line => JSON.parse(line))
}

async function waitForState (node: SystemNode, state: string): Promise<void> {
  await vi.waitFor(() => {
    expect(JSON.parse(readFileSync(node.runRecordFile, 'utf8'))).toMatchObject({ state, pid: node.process.pid })
  }, timeoutMs)
}

/// Starts a process in place of the one that runs, with a fault of processfaults.cjs.
async function restartWith (fault: string, node: SystemNode): Promise<void> {
  process.env.PROCESS_FAULT = fault
  await system.restart(node, 'SIGKILL', false)
  delete process.env.PROCESS_FAULT
}

const waitForEnd = (node: SystemNode): Promise<void> => vi.waitFor(() => {
  expect(node.process.exitCode ?? node.process.signalCode).not.toBeNull()
}, timeoutMs)

/// What makes a process end, but for a last SIGKILL, and what the next start says about it.
const ends: readonly (readonly [string, object, (node: SystemNode) => Promise<void>])[] = [
  ['SIGKILL while it starts', { how: 'unknown-starting', reason: null }, async node => {
    await restartWith('held-start', node)
    await waitForState(node, 'starting')
  }],
  ['SIGKILL while it runs', { how: 'unknown-running', reason: null }, async () => {}],
  ['SIGKILL while it stops', { how: 'unknown-stopping', reason: 'SIGTERM' }, async node => {
    await restartWith('held-stop', node)
    await waitForState(node, 'ready')
    node.process.kill('SIGTERM')
    await waitForState(node, 'stopping')
  }],
  ['SIGSEGV while it runs', { how: 'unknown-running', reason: null }, async node => {
    node.process.kill('SIGSEGV')
    await waitForEnd(node)
  }],
  ['SIGTERM', { how: 'stopped', reason: 'SIGTERM', exitCode: 0 }, async node => {
    node.process.kill('SIGTERM')
    await waitForEnd(node)
  }],
  ['SIGKILL while it waits for a port', { how: 'unknown-starting', reason: null }, async node => {
    node.process.kill('SIGKILL')
    await waitForEnd(node)
    const port = node.role === 'entry' ? Number(node.callersAddress.split(':')[1]) : node.peerPort
    const blocker = createServer(socket => socket.destroy()).listen(port, '127.0.0.1')
    await once(blocker, 'listening')
    const lines = node.outputLines.length
    await system.restart(node, 'SIGKILL', false)
    await vi.waitFor(() => expect(node.outputLines.slice(lines).join('\n')).toContain('listen-failed'), timeoutMs)
    await waitForState(node, 'starting')
    node.process.kill('SIGKILL')
    await waitForEnd(node)
    await new Promise(resolve => blocker.close(resolve))
  }]
]

const storageEnds: typeof ends = [
  ['SIGKILL while it waits for its disk', { how: 'unknown-starting', reason: null }, async node => {
    const lines = node.outputLines.length
    await restartWith('unsyncable-disk', node)
    await vi.waitFor(() => expect(node.outputLines.slice(lines).join('\n')).toContain('disk-awaited'), timeoutMs)
  }],
  ['a disk that fails', { how: 'exited', reason: 'Error: EIO: i/o error, fdatasync', exitCode: 1 }, async node => {
    await restartWith('failing-disk', node)
    await waitForState(node, 'ready')
    await vi.waitFor(async () => {
      await sendTurn(system.entries[0]!.callersAddress)
      expect(node.process.exitCode).toBe(1)
    }, timeoutMs)
  }]
]

const endsByRole = [['entry', ends], ['storage', [...ends, ...storageEnds]]] as const

describe.each(endsByRole)('the next start of an %s process', (role, ends) => {
  let node: SystemNode

  beforeEach(async () => {
    node = (role === 'entry' ? system.entries : system.storages)[0]!
    await waitForState(node, 'ready')
  }, 30_000)

  test.each(ends)('tells an end by %s', async (_, previous, end) => {
    await end(node)
    const { pid } = node.process
    await system.restart(node, 'SIGKILL', false)
    // The line of the start before may arrive only now.
    await vi.waitFor(() => expect(getPreviousRuns(node).map(line => line.pid)).toContain(pid), timeoutMs)
    expect(getPreviousRuns(node).at(-1)).toMatchObject({ ...previous, pid })
    await waitForState(node, 'ready')
    const how = getPreviousRuns(node).at(-1)!.how
    // The metrics don't hold up the start.
    await vi.waitFor(async () => {
      const metrics = await (await fetch(`http://127.0.0.1:${node.metricsPort}/metrics`)).text()
      expect(metrics).toContain(`chicorynotch_previous_run{how="${how}"} 1`)
    }, timeoutMs)
  }, 30_000)
})

test('a damaged run record stops no start of a storage instance, and is not taken for a record of the ledger', async () => {
  const [storage] = system.storages
  await waitForState(storage!, 'ready')
  storage!.process.kill('SIGKILL')
  await waitForEnd(storage!)
  writeFileSync(join(storage!.dataDir, 'run-record'), Buffer.alloc(100, 7))
  writeFileSync(join(storage!.dataDir, 'run-record.new'), 'torn')
  await system.restart(storage!, 'SIGKILL', false)
  await vi.waitFor(() => expect(getPreviousRuns(storage!).at(-1)).toMatchObject({ how: 'unreadable' }), timeoutMs)
  await waitForState(storage!, 'ready')
  rmSync(join(storage!.dataDir, 'run-record'))
}, 30_000)
