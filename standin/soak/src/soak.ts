import { sleep } from '#process/clock'
import { StandinSystem } from '#standin/system'
import type { ExecutedRequest, StandinUpstream } from '#standin/upstream'
import { unitHash } from '#version/configuration'
import { Balancer } from './balancer.js'
import { Caller } from './caller.js'
import { Disturber } from './disturber.js'
import { Observations } from './observations.js'
import { Random } from './random.js'
import { findViolations } from './rules.js'
import type { Finding } from './rules.js'

export interface SoakOptions {
  readonly command: readonly string[]
  readonly seed: number
  readonly durationMs: number
  readonly callers: number
  readonly graceMs: number
  /// Whether processes and the store fail too, beside planned work.
  readonly hasTrouble: boolean
}

export interface SoakReport {
  readonly attempts: number
  /// How many attempts ended with each status; 0 without a complete response.
  readonly statuses: Readonly<Record<number, number>>
  readonly disturbances: readonly string[]
  readonly findings: readonly Finding[]
  /// The log lines of the entries about each finding's request.
  readonly lines: readonly string[]
}

/// As on the users' deployment tunda-ops, with fewer engines.
const entries = 4
const storages = 3
const engines = 3
const services = 3
const settleMs = 2500
/// Of the streams, so many pause at some events, at whichever instance.
const pausingShare = 0.08
const eventsBetweenPauses = 4
const pauseMs = 1100
const minEventIntervalMs = 4
const maxEventIntervalMs = 60

/// Runs the system as real processes under load and disturbances, and checks what was seen from outside.
export async function runSoak (options: SoakOptions): Promise<SoakReport> {
  const { command, seed, durationMs, graceMs, hasTrouble } = options
  const random = new Random(seed)
  const system = new StandinSystem({ command, entries, storages, engines, services, stopGraceMs: graceMs })
  const observations = new Observations()
  await system.start()
  const balancer = new Balancer(system.entries)
  try {
    for (const upstream of [...system.engines, ...system.services]) observe(upstream, observations)
    const startMs = performance.now()
    const isOver = (): boolean => performance.now() - startMs > durationMs
    const callers = Array.from({ length: options.callers }, (_, i) => {
      return new Caller(`s${seed}c${i}`, balancer, observations, random.fork()).run(isOver)
    })
    const disturber = new Disturber(system, observations, random.fork(), { graceMs, hasTrouble })
    await sleep(settleMs)
    await disturber.run(isOver)
    await Promise.all(callers)
    return createReport(system, observations, graceMs)
  } finally {
    balancer.stop()
    await system.stop()
  }
}

function observe (upstream: StandinUpstream, { runs }: Observations): void {
  const open = new Map<ExecutedRequest, { endedAtMs: number }>()
  upstream.onRun = request => {
    const run = { instanceId: upstream.options.id, startedAtMs: performance.now(), endedAtMs: Infinity }
    open.set(request, run)
    runs.set(request.callId, [...runs.get(request.callId) ?? [], run])
  }
  upstream.onDone = request => {
    open.get(request)!.endedAtMs = performance.now()
    open.delete(request)
  }
  upstream.getEventIntervalMs = ({ callId }, eventId) => {
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
  const findings = findViolations(observations, graceMs)
  const ids = new Set(findings.map(({ attempt }) => attempt.id))
  const lines = system.entries.flatMap(entry => entry.outputLines.filter(line => {
    return ids.has(/"callId":"([^"]*)"/.exec(line)?.[1] ?? '') || line.includes('"relay-failed"')
  }))
  return { attempts: attempts.length, statuses, disturbances: disturbances.map(({ text }) => text), findings, lines }
}
