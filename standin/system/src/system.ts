import type { ChildProcess } from 'node:child_process'
import { mkdir, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { sleep } from '#process/clock'
import { computeFullSize } from '#process/membership'
import { locateRunRecord } from '#process/runrecord'
import { StandinStore } from '#standin/store'
import { StandinUpstream } from '#standin/upstream'
import { createConfiguration, instanceSlots } from './configuration.js'
import { formatSettings, isReady, launch, terminate } from './node.js'
import type { LaunchOptions, SystemNode } from './node.js'
import { findFreePorts } from './ports.js'

/// How many processes and stand-ins a system has, and how its processes are started.
export interface SystemOptions extends LaunchOptions {
  readonly entries: number
  readonly storages: number
  readonly engines: number
  readonly services: number
  /// Routes of the configuration that get no calls.
  readonly idleRoutes?: number
  /// Time between SIGTERM and SIGKILL.
  readonly stopGraceMs?: number
  /// The memory that each process may use, or those of each role; without it there is no limit.
  readonly memoryMb?: number | Readonly<Record<SystemNode['role'], number>>
}

const zones = ['north', 'south', 'east']
const startTimeoutMs = 15_000
const toleratedLosses = 1
const eventsPerTurn = 12

/// The services of the stand-in instances.
export type ServiceName = 'models' | 'tools'

/// An instance as the store names it.
interface UpstreamSpec {
  readonly service: ServiceName
  readonly address: string
  readonly zone: string
  readonly version: string
  readonly slots: number
  readonly state: 'ready' | 'draining'
  readonly cold_remaining_ms: number
  readonly seq: number
}

/// The whole system as real processes on loopback, with stand-ins for the store and the upstream instances.
export class StandinSystem {
  readonly store = new StandinStore()
  readonly engines: StandinUpstream[] = []
  readonly services: StandinUpstream[] = []
  private readonly upstreamSpecs = new Map<StandinUpstream, UpstreamSpec>()
  readonly nodes: SystemNode[] = []
  /// Nodes that are gone for good.
  readonly removedNodes: SystemNode[] = []
  private folder = ''
  /// HOST:PORT of the store.
  storeAddress = ''
  private isFirstStart = true
  /// By the name of the node; each resolves when its last write is over.
  private readonly settingsWrites = new Map<string, Promise<void>>()

  constructor (private readonly options: SystemOptions) {}

  /// The processes don't outlive the one that started them.
  private readonly killAll = (): void => { for (const node of this.nodes) node.process.kill('SIGKILL') }

  async start (): Promise<void> {
    process.once('exit', this.killAll)
    this.folder = await mkdtemp(join(tmpdir(), 'chicorynotch-'))
    this.storeAddress = await this.store.listen()
    this.store.put('config', 'main', createConfiguration(1, this.options.idleRoutes))
    for (let i = 0; i < this.options.engines; i++) await this.addUpstream('models', i)
    for (let i = 0; i < this.options.services; i++) await this.addUpstream('tools', i)
    for (let i = 0; i < this.options.storages; i++) await this.addNode('storage', i)
    for (let i = 0; i < this.options.entries; i++) await this.addNode('entry', i)
    await this.waitUntilReady()
    this.isFirstStart = false
  }

  get entries (): SystemNode[] {
    return this.nodes.filter(node => node.role === 'entry')
  }

  get storages (): SystemNode[] {
    return this.nodes.filter(node => node.role === 'storage')
  }

  /// Ends a process with `signal` and starts it again, with an empty data folder if `losesDisk`.
  async restart (node: SystemNode, signal: 'SIGKILL' | 'SIGTERM', losesDisk: boolean): Promise<void> {
    await terminate(node.process, signal)
    await this.startAgain(node, losesDisk)
  }

  /// Starts a process that has ended, with an empty data folder if `losesDisk`.
  async startAgain (node: SystemNode, losesDisk: boolean): Promise<void> {
    if (losesDisk) await rm(node.dataDir, { recursive: true, force: true })
    await this.writeSettings(node)
    node.process = this.launch(node)
  }

  /// Starts a process that has ended, with its settings file and data folder as they are.
  launchAgain (node: SystemNode): void {
    node.process = this.launch(node)
  }

  /// Adds an empty storage instance at an address of its own.
  async addStorage (): Promise<SystemNode> {
    const all = [...this.nodes, ...this.removedNodes].filter(({ role }) => role === 'storage')
    return await this.addNode('storage', all.length)
  }

  /// Takes a node away for good, with its data folder. Its process must have been killed or be about to end.
  async remove (node: SystemNode): Promise<void> {
    this.nodes.splice(this.nodes.indexOf(node), 1)
    this.removedNodes.push(node)
    await terminate(node.process, 'SIGKILL')
    await rm(node.dataDir, { recursive: true, force: true })
    await rm(node.runRecordFile, { force: true })
  }

  /// Replaces the text of a process's settings file while the process runs.
  async changeSettings (node: SystemNode, edit: (settings: string) => string): Promise<void> {
    const path = this.settingsPath(node)
    await this.afterSettingsWrites(node, async () => writeFile(path, edit(await readFile(path, 'utf8'))))
  }

  async stop (signal: 'SIGKILL' | 'SIGTERM' = 'SIGKILL'): Promise<void> {
    await Promise.all(this.nodes.map(node => terminate(node.process, signal)))
    process.off('exit', this.killAll)
    this.store.close()
    for (const upstream of [...this.engines, ...this.services]) upstream.close()
    await rm(this.folder, { recursive: true, force: true })
    await Promise.all(this.nodes.map(node => rm(node.runRecordFile, { force: true })))
  }

  async waitUntilReady (): Promise<void> {
    const deadlineMs = performance.now() + startTimeoutMs
    for (const { readinessAddress, name, outputLines } of this.entries) {
      while (!await isReady(readinessAddress)) {
        if (performance.now() > deadlineMs) throw new Error(`${name} did not become ready in time:\n${outputLines.join('\n')}`)
        await sleep(50)
      }
    }
    while (this.countServingMembers() < Math.min(this.options.storages, computeFullSize(toleratedLosses))) {
      if (performance.now() > deadlineMs) throw new Error('too few storage instances reached the state serving in time')
      await sleep(50)
    }
  }

  /// Counts the storage members that have a complete copy of the data, according to the view in the store.
  countServingMembers (): number {
    const view = this.store.get('chicorynotch-storage-views', 'current')?.spec as { members: { state: string }[] } | undefined
    return view?.members.filter(member => member.state === 'serving').length ?? 0
  }

  /// Adds an instance, at the port of one that is gone if that is given.
  async addUpstream (service: ServiceName, index: number, port?: number): Promise<StandinUpstream> {
    const id = `${service}-${index}`
    const eventCount = service === 'models' ? eventsPerTurn : 0
    const upstream = new StandinUpstream({ id, eventCount, firstByteDelayMs: 8, eventIntervalMs: 4 })
    const address = await upstream.listen(port)
    const zone = zones[index % zones.length]!
    this.upstreamsOf(service).push(upstream)
    this.upstreamSpecs.set(upstream, {
      service, address, zone, version: 'v1', slots: instanceSlots, state: 'ready', cold_remaining_ms: 0, seq: 1
    })
    this.store.put('servers', id, this.upstreamSpecs.get(upstream))
    return upstream
  }

  /// Says that an instance takes no further requests.
  drainUpstream (upstream: StandinUpstream): void {
    const spec = this.upstreamSpecs.get(upstream)!
    this.store.put('servers', upstream.options.id, { ...spec, state: 'draining', seq: spec.seq + 1 })
  }

  /// Takes an instance away for good. Returns its port.
  removeUpstream (upstream: StandinUpstream): number {
    const { service, address } = this.upstreamSpecs.get(upstream)!
    const all = this.upstreamsOf(service)
    all.splice(all.indexOf(upstream), 1)
    this.store.remove('servers', upstream.options.id)
    upstream.close()
    return Number(address.split(':')[1])
  }

  private upstreamsOf (service: ServiceName): StandinUpstream[] {
    return service === 'models' ? this.engines : this.services
  }

  private async addNode (role: SystemNode['role'], index: number): Promise<SystemNode> {
    const name = `${role}-${index}`
    const [callerPort, readinessPort, peerPort, metricsPort] = await findFreePorts(4)
    const dataDir = join(this.folder, name, 'data')
    await mkdir(join(this.folder, name))
    const node = {
      name,
      role,
      callersAddress: `127.0.0.1:${callerPort}`,
      readinessAddress: `127.0.0.1:${readinessPort}`,
      dataDir,
      peerPort: peerPort!,
      metricsPort: metricsPort!,
      runRecordFile: locateRunRecord({
        node: { name, role }, listen: { peer_port: peerPort! }, storage: { data_dir: dataDir }
      }),
      zone: zones[index % zones.length]!,
      localAddress: `127.0.${role === 'entry' ? 1 : 2}.${index + 1}`,
      outputLines: [] as string[],
      process: null as unknown as ChildProcess
    }
    await this.writeSettings(node)
    node.process = this.launch(node)
    this.nodes.push(node)
    return node
  }

  private async writeSettings (node: SystemNode): Promise<void> {
    await this.afterSettingsWrites(node, () => writeFile(this.settingsPath(node), this.formatSettings(node)))
  }

  /// Two writes of the same file at once would mix their texts.
  private async afterSettingsWrites (node: SystemNode, write: () => Promise<void>): Promise<void> {
    const writing = (this.settingsWrites.get(node.name) ?? Promise.resolve()).then(write)
    this.settingsWrites.set(node.name, writing.catch(() => {}))
    await writing
  }

  private formatSettings (node: SystemNode): string {
    const { memoryMb, stopGraceMs } = this.options
    return formatSettings(node, {
      isFirstStart: this.isFirstStart,
      toleratedLosses,
      storeAddress: this.storeAddress,
      stopGraceMs,
      memoryMb: typeof memoryMb === 'object' ? memoryMb[node.role] : memoryMb
    })
  }

  private launch (node: SystemNode): ChildProcess {
    return launch(node, this.settingsPath(node), this.options)
  }

  private settingsPath (node: SystemNode): string {
    return join(this.folder, node.name, 'settings.toml')
  }
}
