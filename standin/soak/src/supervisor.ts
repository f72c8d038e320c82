import { connect } from 'node:net'
import { sleep } from '#process/clock'
import { losePower, PowerLoss } from '#standin/machine'
import { throttle } from '#standin/system'
import type { StandinSystem, SystemNode } from '#standin/system'
import type { Observations, ProcessLife } from './observations.js'
import type { Random } from './random.js'

export type Signal = 'SIGTERM' | 'SIGINT' | 'SIGHUP' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT'

const stopSignals: readonly Signal[] = ['SIGTERM', 'SIGINT']
const isStopSignal = (signal: string): boolean => stopSignals.some(other => other === signal)
const restartDelayMs = 50
const readyIntervalMs = 50

/// By role: an entry says itself whether it is ready, a storage instance is when it accepts connections.
const readinessChecks: Readonly<Record<SystemNode['role'], (node: SystemNode) => Promise<boolean>>> = {
  entry: ({ readinessAddress }) => fetch(`http://${readinessAddress}/readyz`).then(({ ok }) => ok, () => false),
  storage: ({ peerPort }) => new Promise(resolve => {
    const socket = connect({ host: '127.0.0.1', port: peerPort })
    socket.once('connect', () => socket.destroy())
    socket.once('error', () => {})
    socket.once('close', hadError => resolve(!hadError))
  })
}

/// Keeps the processes of a system running, as the platform does: it starts again what has ended, and kills what
/// outlives its grace time. Records the life of each process.
export class Supervisor {
  private readonly lives = new Map<SystemNode, ProcessLife>()
  private readonly diskLosers = new Set<SystemNode>()
  /// Machines that have lost power, and what that leaves on their disks.
  private readonly powerLosers = new Map<SystemNode, { readonly loss: PowerLoss, readonly random: Random }>()
  private readonly removed = new Set<SystemNode>()
  private readonly roleShares = new Map<SystemNode['role'], number>()
  private readonly shares = new Map<SystemNode, number>()
  private readonly throttles = new Map<SystemNode, () => void>()
  private delayMs = restartDelayMs
  private isOver = false
  /// Called with each process that is started, but for the first ones.
  onLaunch: (node: SystemNode) => void = () => {}
  /// Called right after the start of a process that has ended.
  onStart: (node: SystemNode) => void = () => {}

  constructor (
    private readonly system: StandinSystem,
    private readonly observations: Observations,
    private readonly graceMs: number
  ) {
    for (const node of system.nodes) this.watch(node)
  }

  life (node: SystemNode): ProcessLife {
    return this.lives.get(node)!
  }

  /// Sends a signal to the process that runs now, if one does.
  signal (node: SystemNode, signal: Signal): void {
    const life = this.life(node)
    const { process } = node
    if (life.endedAtMs !== Infinity) return
    const isFirstStop = isStopSignal(signal) && !hasStopSignal(life)
    life.signals.push({ signal, atMs: performance.now() })
    process.kill(signal)
    if (isFirstStop) setTimeout(() => { this.killOutliving(life, node) }, this.graceMs)
  }

  /// Kills the process, which loses its disk if `losesDisk`.
  kill (node: SystemNode, losesDisk: boolean): void {
    if (losesDisk) this.diskLosers.add(node)
    this.signal(node, 'SIGKILL')
  }

  /// Kills the process, whose machine loses power: what it hasn't synced is lost, or some of it. Returns what is.
  cutPower (node: SystemNode, random: Random): PowerLoss {
    const loss = random.pick(Object.values(PowerLoss))
    this.powerLosers.set(node, { loss, random: random.fork() })
    this.kill(node, false)
    return loss
  }

  /// Kills a process that uses more memory than its machine has.
  killBeyondMemory (node: SystemNode, residentMb: number): void {
    const life = this.life(node)
    if (life.endedAtMs !== Infinity || life.beyondMemoryMb !== undefined) return
    life.beyondMemoryMb = Math.round(residentMb)
    node.process.kill('SIGKILL')
  }

  /// Kills all processes of `nodes` at one moment, whatever they do. They are started again after `delayMs`. All but
  /// `diskLoser` lose power if `powerRandom` isn't null.
  killAll (
    nodes: readonly SystemNode[], diskLoser: SystemNode | null, delayMs: number, powerRandom: Random | null = null
  ): void {
    this.delayMs = delayMs
    for (const node of nodes) {
      if (powerRandom === null || node === diskLoser) this.kill(node, node === diskLoser)
      else this.cutPower(node, powerRandom)
    }
    setTimeout(() => { this.delayMs = restartDelayMs }, delayMs)
  }

  /// Stops the process of a node for a while, whatever its share of the processor.
  async freeze (node: SystemNode, durationMs: number): Promise<void> {
    const life = this.life(node)
    this.throttles.get(node)?.()
    this.throttles.delete(node)
    this.signal(node, 'SIGSTOP')
    await sleep(durationMs)
    if (this.life(node) !== life) return
    this.signal(node, 'SIGCONT')
    this.throttleProcess(node)
  }

  /// Gives the processes of all nodes of a role only this share of a processor.
  throttleRole (role: SystemNode['role'], share: number): void {
    this.roleShares.set(role, share)
    for (const node of this.system.nodes) if (node.role === role) this.throttle(node, share)
  }

  /// Adds an empty storage instance.
  async addStorage (): Promise<SystemNode> {
    const node = await this.system.addStorage()
    const share = this.roleShares.get(node.role)
    if (share !== undefined) this.throttle(node, share)
    this.onLaunch(node)
    this.watch(node)
    return node
  }

  /// Takes a node away for good, with its disk.
  async remove (node: SystemNode): Promise<void> {
    this.removed.add(node)
    this.signal(node, 'SIGKILL')
    await this.system.remove(node)
  }

  /// Resolves when the process that follows `life` is started, or when the time is over.
  async waitUntilStartedAfter (life: ProcessLife, timeoutMs: number): Promise<void> {
    const deadlineMs = performance.now() + timeoutMs
    while (this.life(life.node) === life && performance.now() < deadlineMs) await sleep(readyIntervalMs)
  }

  /// Resolves when the process that runs after `life` is ready, or when the time is over.
  async waitUntilReadyAfter (life: ProcessLife, timeoutMs: number): Promise<void> {
    const deadlineMs = performance.now() + timeoutMs
    const isReadyAgain = (): boolean => this.life(life.node) !== life && this.life(life.node).readyAtMs !== null
    while (!isReadyAgain() && performance.now() < deadlineMs) await sleep(readyIntervalMs)
  }

  /// Resolves when all processes are steady, or when the time is over.
  async waitUntilAllReady (timeoutMs: number): Promise<void> {
    const deadlineMs = performance.now() + timeoutMs
    const areSteady = (): boolean => this.system.nodes.every(node => this.isSteady(node))
    while (!areSteady() && performance.now() < deadlineMs) await sleep(readyIntervalMs)
  }

  /// Whether all storage instances run, are ready and aren't about to stop.
  areStoragesSteady (): boolean {
    return this.system.storages.every(storage => this.isSteady(storage))
  }

  isSteady (node: SystemNode): boolean {
    const life = this.life(node)
    return life.readyAtMs !== null && life.endedAtMs === Infinity && !hasStopSignal(life)
  }

  /// Leaves the processes to themselves.
  stop (): void {
    this.isOver = true
    for (const unthrottle of this.throttles.values()) unthrottle()
  }

  private throttle (node: SystemNode, share: number): void {
    this.shares.set(node, share)
    this.throttleProcess(node)
  }

  private throttleProcess (node: SystemNode): void {
    const share = this.shares.get(node)
    if (share === undefined) return
    this.throttles.get(node)?.()
    this.throttles.set(node, throttle(node, share))
  }

  private watch (node: SystemNode): void {
    const { process } = node
    const life: ProcessLife = {
      node,
      startedAtMs: performance.now(),
      readyAtMs: null,
      endedAtMs: Infinity,
      exitCode: null,
      endSignal: null,
      signals: [],
      lines: []
    }
    this.lives.set(node, life)
    this.observations.lives.push(life)
    const firstLine = node.outputLines.length
    this.waitUntilReady(life)
    process.once('close', (exitCode, endSignal) => {
      if (this.isOver) return
      const lines = node.outputLines.slice(firstLine)
      Object.assign(life, { endedAtMs: performance.now(), exitCode, endSignal, lines })
      this.startAgain(node)
    })
  }

  private async startAgain (node: SystemNode): Promise<void> {
    await sleep(this.delayMs)
    if (this.isOver || this.removed.has(node)) return
    const { loss, random } = this.powerLosers.get(node) ?? {}
    this.powerLosers.delete(node)
    if (loss !== undefined) losePower(node.dataDir, loss, () => random!.next())
    await this.system.startAgain(node, this.diskLosers.delete(node))
    this.onLaunch(node)
    this.throttleProcess(node)
    this.watch(node)
    this.onStart(node)
  }

  private async waitUntilReady (life: ProcessLife): Promise<void> {
    while (life.readyAtMs === null && life.endedAtMs === Infinity && !this.isOver && !this.removed.has(life.node)) {
      const isReady = await readinessChecks[life.node.role](life.node)
      if (isReady && life.endedAtMs === Infinity) life.readyAtMs = performance.now()
      else await sleep(readyIntervalMs)
    }
  }

  private killOutliving (life: ProcessLife, node: SystemNode): void {
    if (life.endedAtMs !== Infinity || this.isOver) return
    life.outlivedGrace = true
    node.process.kill('SIGKILL')
  }
}

export function hasStopSignal ({ signals }: ProcessLife): boolean {
  return signals.some(isStop)
}

export function isStop ({ signal }: ProcessLife['signals'][number]): boolean {
  return isStopSignal(signal)
}
