import type { SystemNode } from '#standin/system'
import type { Disturbance, Observations, ProcessLife } from './observations.js'
import { hasStopSignal, isStop } from './supervisor.js'

// The sentences of the users' rule Fault on processes, as the platform that starts and signals them sees it.

const maxStartMs = 15_000
/// A process may end so long after a fault of its machine.
const endAfterFaultMs = 1000
/// Signals that don't end a process.
const harmlessSignals: readonly string[] = ['SIGHUP', 'SIGSTOP', 'SIGCONT']

/// What a process did that it must not do.
export interface LifeFinding {
  readonly rule: string
  readonly life: ProcessLife
  readonly text: string
}

type Check = (life: ProcessLife, observations: Observations) => string | null

const checks: Readonly<Record<string, Check>> = {
  'ended by itself': (life, { disturbances }) => {
    if (life.endedAtMs === Infinity || isAskedFor(life) || isEndedAtBoot(life)) return null
    return isBesideFaultOfMachine(life, disturbances) ? null : describeEnd(life)
  },
  "doesn't start": (life, { disturbances, endedAtMs: nowMs }) => {
    const { node, readyAtMs, startedAtMs, endedAtMs, signals } = life
    if (readyAtMs !== null || signals.some(({ signal }) => !harmlessSignals.includes(signal))) return null
    const triedMs = Math.min(endedAtMs, nowMs) - startedAtMs
    const isHindered = [node, null].some(at => isTroubled(at, startedAtMs, startedAtMs + maxStartMs, disturbances))
    return triedMs < maxStartMs || isHindered ? null : `not ready ${Math.round(triedMs)} ms after its start`
  },
  'beyond its memory': life => {
    return life.beyondMemoryMb === undefined ? null : `used ${life.beyondMemoryMb} MB, ${describeEnd(life)}`
  },
  'outlived its grace time': (life, { disturbances }) => {
    const stoppedAtMs = life.signals.find(isStop)?.atMs ?? life.startedAtMs
    const isHindered = isFrozenSince(life, stoppedAtMs) ||
      isTroubled(life.node, stoppedAtMs, life.endedAtMs, disturbances)
    return life.outlivedGrace === true && !isHindered ? describeEnd(life) : null
  }
}

export function findLifeViolations (observations: Observations): LifeFinding[] {
  return observations.lives.flatMap(life => Object.entries(checks).flatMap(([rule, check]) => {
    const text = check(life, observations)
    return text === null ? [] : [{ rule, life, text: `${life.node.name} ${text}` }]
  }))
}

/// Whether a signal ended the process before any code of the daemon ran, which the daemon can't prevent.
export function isEndedAtBoot ({ endSignal, lines }: ProcessLife): boolean {
  return ['SIGTERM', 'SIGINT', 'SIGHUP'].includes(endSignal ?? '') && lines.length === 0
}

/// Whether there was trouble of a process, or of what all use without one, in the time.
function isTroubled (
  node: SystemNode | null, fromMs: number, toMs: number, disturbances: readonly Disturbance[]
): boolean {
  return disturbances.some(({ kind, entry, startMs, endMs }) => {
    return kind === 'unplanned' && entry === node && startMs <= toMs && endMs >= fromMs
  })
}

/// Whether the process was stopped by SIGSTOP at that time, or later.
function isFrozenSince ({ signals }: ProcessLife, sinceMs: number): boolean {
  const last = signals.findLast(({ signal }) => signal === 'SIGSTOP' || signal === 'SIGCONT')
  return last !== undefined && (last.signal === 'SIGSTOP' || last.atMs >= sinceMs)
}

/// Whether it ended during a fault of its own machine, or right after it.
function isBesideFaultOfMachine ({ node, endedAtMs }: ProcessLife, disturbances: readonly Disturbance[]): boolean {
  return disturbances.some(({ storage, startMs, endMs }) => {
    return storage === node && startMs <= endedAtMs && endMs >= endedAtMs - endAfterFaultMs
  })
}

function isAskedFor (life: ProcessLife): boolean {
  if (life.beyondMemoryMb !== undefined) return true
  if (life.endSignal === 'SIGKILL') return life.outlivedGrace === true || life.signals.some(({ signal }) => signal === 'SIGKILL')
  return life.exitCode === 0 && hasStopSignal(life)
}

function describeEnd ({ exitCode, endSignal, startedAtMs, endedAtMs, readyAtMs, signals }: ProcessLife): string {
  const sent = signals.map(({ signal, atMs }) => `${signal} ${Math.round(atMs - startedAtMs)} ms`).join(', ')
  return `ended ${Math.round(endedAtMs - startedAtMs)} ms after its start with ${endSignal ?? `exit code ${exitCode}`}, ` +
    `${readyAtMs === null ? 'not ready' : `ready after ${Math.round(readyAtMs - startedAtMs)} ms`}, sent: ${sent === '' ? 'nothing' : sent}`
}
