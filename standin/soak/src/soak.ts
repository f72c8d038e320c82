import { LoopMonitor, sleep } from '#process/clock'
import { instanceSlots, limitDescriptors, StandinSystem } from '#standin/system'
import type { StandinUpstream } from '#standin/upstream'
import { unitHash } from '#version/configuration'
import { Balancer } from './balancer.js'
import { findBreaches } from './breaches.js'
import { Caller } from './caller.js'
import { DisturbanceGroup, Disturber } from './disturber.js'
import { FinalFault } from './finalfault.js'
import { turn } from './kinds.js'
import { findLifeViolations, isEndedAtBoot } from './liferules.js'
import type { LifeFinding } from './liferules.js'
import { MemoryWatch } from './memorywatch.js'
import type { MemoryLimits } from './memorywatch.js'
import { Observations } from './observations.js'
import type { Attempt } from './observations.js'
import { Random } from './random.js'
import { findViolations } from './rules.js'
import type { Finding } from './rules.js'
import { observeRuns } from './runs.js'
import { Supervisor } from './supervisor.js'

export interface SoakOptions {
  readonly command: readonly string[]
  readonly seed: number
  readonly durationMs: number
  readonly callers: number
  readonly graceMs: number
  /// What disturbs the run besides planned work.
  readonly groups?: readonly DisturbanceGroup[]
  /// Whether callers send further requests before they have the answers to earlier ones; true without it.
  readonly sendsBatches?: boolean
  /// Whether all processes are killed at the end, one storage instance loses its disk, and turns are gone on from then.
  readonly hasFinalFault?: boolean
  /// Whether `command` runs processes on machines of the stand-in.
  readonly hasMachines?: boolean
  /// The share of a processor that each entry gets; without it there is no limit.
  readonly entryShare?: number
  readonly storageShare?: number
  /// A process that uses more memory is killed.
  readonly memoryMb?: MemoryLimits
  /// How many descriptors each process may have open.
  readonly descriptors?: number
  readonly entries?: number
  readonly engines?: number
}

export interface SoakReport {
  readonly attempts: number
  /// How many attempts ended with each status; 0 without a complete response.
  readonly statuses: Readonly<Record<number, number>>
  readonly disturbances: readonly string[]
  readonly findings: readonly (Finding | LifeFinding)[]
  /// Sentences of the rule LOST that are broken, counted as it counts them.
  readonly breaches: readonly string[]
  /// How many first turns, and turns that go on, reached an instance.
  readonly reached: Readonly<Record<'first' | 'further', string>>
  /// How many processes a signal ended before any code of the daemon ran, by the signal.
  readonly endsAtBoot: Readonly<Record<string, number>>
  /// The log lines about each finding's request and its previous turn, and the last ones of processes that ended.
  readonly lines: readonly string[]
  /// All that the processes have written, by their names.
  readonly logs: Readonly<Record<string, readonly string[]>>
}

/// As on the users' deployment tunda-ops, with fewer engines.
const defaultEntries = 4
const storages = 3
const defaultEngines = 3
const services = 3
const settleMs = 2500
/// For the processes to be ready again at the end; longer than a start may take.
const maxSettleMs = 20_000
/// Final faults that strike right after a change among the storage machines has begun.
const faultBesideChangeShare = 0.7
const maxFaultDelayMs = 2500
const lastLines = 15
/// Of the streams, so many pause at some events, at whichever instance.
const pausingShare = 0.08
const eventsBetweenPauses = 4
const pauseMs = 1100
const minEventIntervalMs = 4
const maxEventIntervalMs = 60

/// Runs the system as real processes under load and disturbances, and checks what was seen from outside.
export async function runSoak (options: SoakOptions): Promise<SoakReport> {
  const { command, seed, durationMs, graceMs, groups = [] } = options
  const { entries = defaultEntries, engines = defaultEngines } = options
  const { sendsBatches = true, hasFinalFault = false, hasMachines = false, memoryMb, descriptors } = options
  const { entryShare, storageShare } = options
  const random = new Random(seed)
  const system = new StandinSystem({
    command: descriptors === undefined ? command : limitDescriptors(command, descriptors),
    entries,
    storages,
    engines,
    services,
    stopGraceMs: graceMs,
    hasMachines,
    ...memoryMb === undefined ? {} : { memoryMb }
  })
  const observations = new Observations()
  await system.start()
  const balancer = new Balancer(system.entries)
  const supervisor = new Supervisor(system, observations, graceMs)
  const memoryWatch = memoryMb === undefined ? null : new MemoryWatch(system.nodes, memoryMb, supervisor)
  const monitor = new LoopMonitor({
    onDelay: delayMs => observations.delays.push({ atMs: performance.now(), delayMs }),
    onStall: () => {},
    onLoad: () => {}
  })
  try {
    const onAddInstance = (upstream: StandinUpstream): void => {
      observeRuns(upstream, observations)
      if (system.engines.includes(upstream)) setPauses(upstream)
      observations.places = system.engines.length * instanceSlots
    }
    for (const upstream of [...system.engines, ...system.services]) onAddInstance(upstream)
    const startMs = performance.now()
    let isTrafficOver = false
    const isOver = (): boolean => performance.now() - startMs > durationMs
    if (entryShare !== undefined) supervisor.throttleRole('entry', entryShare)
    if (storageShare !== undefined) supervisor.throttleRole('storage', storageShare)
    const createCaller = (name: string): Caller => {
      return new Caller(`s${seed}${name}`, balancer, observations, random.fork(), sendsBatches)
    }
    const callers = Array.from({ length: options.callers }, (_, i) => createCaller(`c${i}`).run(() => isTrafficOver))
    const disturber = new Disturber(system, supervisor, observations, random.fork(), {
      graceMs, groups, onAddInstance, createCaller
    })
    await sleep(settleMs)
    await disturber.run(isOver)
    if (hasFinalFault && groups.includes(DisturbanceGroup.changes) && random.next() < faultBesideChangeShare) {
      await disturber.startStorageChange(maxSettleMs)
      await sleep(random.between(0, maxFaultDelayMs))
    }
    if (hasFinalFault) {
      const mayLoseDisk = (): boolean => !disturber.isDiskMissing
      const losesPower = groups.includes(DisturbanceGroup.power)
      await new FinalFault({
        system, supervisor, balancer, observations, random: random.fork(), mayLoseDisk, losesPower
      }).play()
    }
    isTrafficOver = true
    await disturber.settle()
    await Promise.all(callers)
    await supervisor.waitUntilAllReady(maxSettleMs)
    observations.endedAtMs = performance.now()
    return createReport(system, observations, graceMs)
  } finally {
    balancer.stop()
    supervisor.stop()
    memoryWatch?.stop()
    monitor.stop()
    await system.stop()
  }
}

function setPauses (engine: StandinUpstream): void {
  engine.getEventIntervalMs = ({ callId }, eventId) => {
    if (eventId % eventsBetweenPauses === 0 && unitHash(callId) < pausingShare) return pauseMs
    return minEventIntervalMs + (maxEventIntervalMs - minEventIntervalMs) * unitHash(`${callId}/${eventId}`)
  }
}

function createReport (system: StandinSystem, observations: Observations, graceMs: number): SoakReport {
  const { attempts, disturbances } = observations
  const statuses: Record<number, number> = {}
  for (const { status, isComplete } of attempts) {
    const key = isComplete ? status : 0
    statuses[key] = (statuses[key] ?? 0) + 1
  }
  const requestFindings = findViolations(observations, graceMs)
  const lifeFindings = findLifeViolations(observations)
  const ids = new Set(requestFindings.flatMap(({ attempt }) => [attempt.id, attempt.previousTurnId ?? attempt.id]))
  const isAbout = (line: string): boolean => {
    return line.includes('"relay-failed"') || [...ids].some(id => line.includes(`"${id}"`))
  }
  const nodes = [...system.nodes, ...system.removedNodes]
  const lines = nodes.flatMap(({ name, outputLines }) => outputLines.filter(isAbout).map(line => `${name}: ${line}`))
  const lastOfLives = lifeFindings.flatMap(({ life }) => life.lines.slice(-lastLines).map(line => `${life.node.name}: ${line}`))
  const endsAtBoot: Record<string, number> = {}
  for (const life of observations.lives.filter(isEndedAtBoot)) {
    endsAtBoot[life.endSignal!] = (endsAtBoot[life.endSignal!] ?? 0) + 1
  }
  return {
    attempts: attempts.length,
    statuses,
    disturbances: disturbances.map(({ text }) => text),
    findings: [...lifeFindings, ...requestFindings],
    reached: {
      first: countReached(observations, attempt => attempt.previousTurnId === null),
      further: countReached(observations, attempt => attempt.previousTurnId !== null)
    },
    breaches: findBreaches(requestFindings, observations),
    endsAtBoot,
    lines: ids.size === 0 ? lastOfLives : [...lastOfLives, ...lines],
    logs: Object.fromEntries(nodes.map(({ name, outputLines }) => [name, outputLines]))
  }
}

function countReached ({ attempts, runs }: Observations, isCounted: (attempt: Attempt) => boolean): string {
  const turns = attempts.filter(attempt => attempt.path === turn.path && isCounted(attempt))
  return `${turns.filter(({ id }) => runs.has(id)).length} of ${turns.length}`
}
