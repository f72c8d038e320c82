import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { StandinSystem, SystemNode } from '#standin/system'
import { StoreFault } from '#standin/store'
import { UpstreamFault } from '#standin/upstream'
import { Disturber } from '../src/disturber.js'
import { Observations } from '../src/observations.js'
import { Random } from '../src/random.js'
import type { Supervisor } from '../src/supervisor.js'

const graceMs = 8000
const restartMs = 700
/// A machine that is gone for good has a successor after this time at most.
const maxReplacementMs = 1500
const marginMs = 10

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

function createNode (role: SystemNode['role'], i: number): SystemNode {
  return { name: `${role}-${i}`, role, process: { kill: () => {} } } as unknown as SystemNode
}

/// A system without processes, whose retirements are completed at once.
function createSystem (): StandinSystem {
  const nodes = [...[0, 1, 2].map(i => createNode('storage', i)), ...[0, 1, 2, 3].map(i => createNode('entry', i))]
  const instance = (id: string): unknown => ({ options: { id }, fault: UpstreamFault.none })
  const system = {
    nodes,
    get entries () { return nodes.filter(({ role }) => role === 'entry') },
    get storages () { return nodes.filter(({ role }) => role === 'storage') },
    engines: ['models-0', 'models-1', 'models-2'].map(instance),
    services: ['tools-0', 'tools-1'].map(instance),
    store: {
      fault: StoreFault.none,
      put: () => {},
      compactHistory: () => {},
      get: () => ({ status: { state: 'completed' } })
    },
    changeSettings: async () => {},
    countServingMembers: () => 3
  }
  return system as unknown as StandinSystem
}

/// Processes are started again a fixed time after each stop or kill, and ready twice as long after it.
class Processes {
  onStart: (node: SystemNode) => void = () => {}
  private readonly lives = new Map<SystemNode, { signals: { signal: string }[], isReady: boolean }>()
  private added = 0

  constructor (private readonly system: StandinSystem, private readonly addedReadyMs: number) {}

  life (node: SystemNode): unknown {
    if (!this.lives.has(node)) this.lives.set(node, { signals: [], isReady: true })
    return this.lives.get(node)
  }

  signal (node: SystemNode, signal: string): void {
    const life = this.life(node) as { signals: { signal: string }[] }
    const isFirst = life.signals.every(other => other.signal === 'SIGHUP')
    life.signals.push({ signal })
    if (signal !== 'SIGHUP' && isFirst) setTimeout(() => { this.startAgain(node) }, restartMs)
  }

  async freeze (): Promise<void> {}
  kill (node: SystemNode): void { this.signal(node, 'SIGKILL') }
  isSteady (node: SystemNode): boolean {
    const { signals, isReady } = this.life(node) as { signals: { signal: string }[], isReady: boolean }
    return isReady && signals.every(({ signal }) => signal === 'SIGHUP')
  }

  areStoragesSteady (): boolean { return this.system.storages.every(storage => this.isSteady(storage)) }
  async remove (node: SystemNode): Promise<void> { this.system.nodes.splice(this.system.nodes.indexOf(node), 1) }

  async addStorage (): Promise<SystemNode> {
    const node = createNode('storage', 3 + this.added++)
    this.system.nodes.push(node)
    const life = { signals: [], isReady: this.addedReadyMs === 0 }
    this.lives.set(node, life)
    setTimeout(() => { life.isReady = true }, this.addedReadyMs)
    return node
  }

  async waitUntilStartedAfter (): Promise<void> {
    await new Promise(resolve => { setTimeout(resolve, restartMs) })
  }

  async waitUntilReadyAfter (): Promise<void> {
    await new Promise(resolve => { setTimeout(resolve, 2 * restartMs) })
  }

  private startAgain (node: SystemNode): void {
    this.lives.set(node, { signals: [], isReady: true })
    this.onStart(node)
  }
}

/// What a seed does in the first 20 s; it stays the same.
const seed = 51_000
const disturbancesOfSeed = [
  'unplanned: SIGKILL of storage-2, which loses its disk at 0 ms',
  'signal: models-2 is full for 816 ms at 3074 ms',
  'unplanned: SIGKILL of entry-2 at 3715 ms',
  'stop: SIGTERM of entry-1 at 4672 ms',
  'settings: SIGHUP of entry-1 at 5420 ms',
  'stop: SIGTERM of entry-0 at 6115 ms',
  'settings: SIGHUP of entry-0 at 6116 ms',
  'signal: another SIGTERM of entry-0 at 6134 ms',
  'stop: SIGINT of entry-2 at 6491 ms',
  'signal: another SIGINT of entry-2 at 6499 ms',
  'stop: SIGTERM of entry-0 at 6883 ms',
  'signal: another SIGINT of entry-0 at 6884 ms',
  'signal: a storage machine is added at 7112 ms',
  'settings: SIGHUP of entry-2 at 7192 ms',
  'settings: SIGHUP of entry-0 at 7663 ms',
  'settings: SIGHUP of entry-2 at 7752 ms',
  'settings: SIGHUP of entry-2 at 7754 ms',
  'settings: SIGHUP of entry-1 at 9037 ms',
  'unplanned: SIGSTOP of entry-3 for 1025 ms at 10309 ms',
  'configuration: configuration 2 with 9 idle routes and 6000 ms at 11328 ms',
  'configuration: configuration 4 with 9 idle routes and 4000 ms at 11658 ms',
  'stop: SIGTERM of entry-2 at 12860 ms',
  'settings: SIGHUP of entry-2 at 13583 ms',
  'settings: SIGHUP of entry-2 at 13584 ms',
  'unplanned: SIGKILL of storage-3 at 15883 ms',
  'settings: SIGHUP of storage-1 at 16575 ms'
]

async function run (durationMs: number, addedReadyMs: number): Promise<Observations> {
  const system = createSystem()
  const observations = new Observations()
  const supervisor = new Processes(system, addedReadyMs) as unknown as Supervisor
  const disturber = new Disturber(system, supervisor, observations, new Random(seed), {
    graceMs, groups: ['trouble', 'changes', 'faulty']
  })
  const startMs = performance.now()
  const running = disturber.run(() => performance.now() - startMs > durationMs)
  await vi.advanceTimersByTimeAsync(durationMs + 5000)
  await running
  return observations
}

test('a seed keeps its meaning', async () => {
  const { disturbances } = await run(20_000, 0)
  expect(disturbances.map(({ kind, text }) => `${kind}: ${text}`)).toEqual(disturbancesOfSeed)
})

test.each([
  ['is killed', /^SIGKILL of/, restartMs],
  ['is killed after a retirement', /^storage-\d+ is killed and loses its disk/, restartMs],
  ['is gone for good', /is gone for good/, maxReplacementMs]
])('the trouble of a process that %s ends as it or its successor is started', async (_, pattern, maxMs) => {
  const { disturbances } = await run(120_000, 2000)
  const lengthsMs = disturbances.filter(({ text }) => pattern.test(text)).map(({ startMs, endMs }) => endMs - startMs)
  expect(lengthsMs.length).toBeGreaterThan(0)
  for (const lengthMs of lengthsMs) expect(lengthMs).toBeLessThanOrEqual(maxMs + marginMs)
})
