import type { Attempt, Disturbance, Observations } from './observations.js'

// The sentences of the users' rule LOST, and those near it, as the callers and instances saw them.

/// The users' bounds.
const lossSlackMs = 200
const contactMs = 3000
const configurationApplyMs = 2000
const retentionMs = 60_000
/// Of the grace time of a stop, in its last part an instance that is at work may be cut off, on a request that was sent
/// no later than this after the signal.
const lastGraceShare = 1 / 6
const earlyRequestMs = 3000
/// So many tries that reach no instance break the rule.
const maxTriesInVain = 5
/// While fewer of the first turns reach an instance, they don't.
const minReachedShare = 0.9
const firstTurnWindowMs = 500
/// A request that has used more of its time doesn't count beside a change of the configuration.
const maxUsedShare = 0.7

/// What broke a rule, or might have.
export interface Finding {
  readonly rule: string
  readonly attempt: Attempt
  readonly text: string
}

type Check = (attempt: Attempt, observations: Observations, graceMs: number) => string | null

/// By the name of the sentence. Each returns what it has found, null for nothing.
const checks: Readonly<Record<string, Check>> = {
  'lost around planned work': findLostInPlannedWork,
  'lost on a kept connection': findLostOnKeptConnection,
  'previous turn denied': findDeniedTurn,
  'previous turn reaches no instance': findUnreachableTurn,
  'sound request denied': ({ status, isComplete, previousTurnId }) => {
    const isTurnUnknown = previousTurnId !== null && (status === 404 || status === 410)
    return isComplete && status >= 400 && status < 500 && ![402, 408, 421, 429].includes(status) && !isTurnUnknown
      ? `answered ${status}`
      : null
  },
  'refused but run': ({ id, status, isComplete }, { runs }) => {
    return isComplete && [402, 408, 421, 429, 503].includes(status) && runs.has(id) ? `answered ${status}` : null
  },
  'run twice': ({ id, path }, { runs }) => {
    const count = runs.get(id)?.length ?? 0
    return path.startsWith('/charge') && count > 1 ? `${count} runs` : null
  },
  'answer of another request': ({ id, status, isComplete, path, body }) => {
    return isComplete && status === 200 && path.startsWith('/charge') && !body.includes(id) ? `body ${body.slice(0, 60)}` : null
  }
}

export function findViolations (observations: Observations, graceMs: number): Finding[] {
  return observations.attempts.flatMap(attempt => Object.entries(checks).flatMap(([rule, check]) => {
    const text = check(attempt, observations, graceMs)
    return text === null ? [] : [{ rule, attempt, text }]
  }))
}

/// Whether the connection ended without a complete answer, and not for a reason that the rule allows.
function isCut ({ isComplete, isLeft, startedAtMs, endedAtMs, deadlineMs }: Attempt): boolean {
  return !isComplete && !isLeft && endedAtMs - startedAtMs < deadlineMs
}

function findLostInPlannedWork (attempt: Attempt, observations: Observations, graceMs: number): string | null {
  const { id, sentAtMs, startedAtMs, endedAtMs, deadlineMs } = attempt
  const isRun = observations.runs.has(id)
  if (!isCut(attempt)) return null
  if (!isRun && endedAtMs - sentAtMs - getOwnDelayMs(attempt, observations) <= lossSlackMs) return null
  if (hasUnplanned(attempt, observations)) return null
  const isUsedUp = endedAtMs - startedAtMs >= deadlineMs * maxUsedShare
  const work = observations.disturbances.find(disturbance => {
    return isPlannedWork(disturbance, attempt) && !(disturbance.kind === 'configuration' && isUsedUp) &&
      !(disturbance.kind === 'stop' && isCutLate(attempt, disturbance, graceMs, isRun))
  })
  return work === undefined ? null : `${describe(attempt, isRun)}, ${Math.round(endedAtMs - work.startMs)} ms after: ${work.text}`
}

/// How late the process that runs the callers itself was between the end of a request and that of its connection.
function getOwnDelayMs ({ sentAtMs, endedAtMs }: Attempt, { delays }: Observations): number {
  const meanwhile = delays.filter(({ atMs, delayMs }) => atMs >= sentAtMs && atMs - delayMs <= endedAtMs)
  return Math.max(0, ...meanwhile.map(({ delayMs }) => delayMs))
}

function isPlannedWork (disturbance: Disturbance, { entry, sentAtMs, startedAtMs, endedAtMs }: Attempt): boolean {
  const { kind, startMs, endMs } = disturbance
  if (kind === 'unplanned' || kind === 'signal' || (disturbance.entry !== null && disturbance.entry !== entry)) return false
  if (kind === 'settings') return sentAtMs >= startMs && sentAtMs <= startMs + configurationApplyMs
  return endedAtMs >= startMs && startedAtMs <= endMs && endedAtMs <= endMs
}

function isCutLate (
  { sentAtMs, endedAtMs }: Attempt, { startMs }: Disturbance, graceMs: number, isRun: boolean
): boolean {
  return isRun && sentAtMs <= startMs + earlyRequestMs && endedAtMs >= startMs + graceMs * (1 - lastGraceShare)
}

function findLostOnKeptConnection (attempt: Attempt, observations: Observations): string | null {
  const { id, isKept } = attempt
  if (!isKept || !isCut(attempt) || !observations.runs.has(id) || hasUnplanned(attempt, observations)) return null
  return describe(attempt, true)
}

function findDeniedTurn (attempt: Attempt, { attempts }: Observations): string | null {
  const { previousTurnId, status, isComplete, startedAtMs } = attempt
  if (previousTurnId === null || !isComplete || (status !== 404 && status !== 410)) return null
  const previous = attempts.find(({ id, status, isComplete }) => id === previousTurnId && status === 200 && isComplete)
  if (previous === undefined || startedAtMs - previous.endedAtMs > retentionMs) return null
  return `answered ${status}, the previous turn ${previousTurnId} was answered whole ${Math.round(startedAtMs - previous.endedAtMs)} ms before`
}

/// The entries are asked in vain for the same turn, time after time, while nothing is wrong and programs start.
function findUnreachableTurn (attempt: Attempt, observations: Observations): string | null {
  const { id, previousTurnId, startedAtMs } = attempt
  const { attempts, runs } = observations
  if (previousTurnId === null || runs.has(id)) return null
  const all = attempts.filter(other => other.previousTurnId === previousTurnId && other.startedAtMs <= startedAtMs)
  if (all.length < maxTriesInVain) return null
  const tries = all.slice(-maxTriesInVain)
  const isInVain = tries.every(other => !runs.has(other.id) && !hasUnplanned(other, observations))
  if (!isInVain || !areProgramsStarted(tries, observations)) return null
  return `${maxTriesInVain} tries to go on from ${previousTurnId}`
}

/// Whether nine tenths of the first turns beside these tries reach an instance: else the entries are too busy.
function areProgramsStarted (tries: readonly Attempt[], { attempts, runs }: Observations): boolean {
  const startMs = Math.min(...tries.map(({ startedAtMs }) => startedAtMs)) - firstTurnWindowMs
  const endMs = Math.max(...tries.map(({ endedAtMs }) => endedAtMs)) + firstTurnWindowMs
  const firstTurns = attempts.filter(({ path, previousTurnId, startedAtMs }) => {
    return path === '/chat/' && previousTurnId === null && startedAtMs >= startMs && startedAtMs <= endMs
  })
  const reached = firstTurns.filter(({ id }) => runs.has(id))
  return reached.length >= firstTurns.length * minReachedShare
}

function hasUnplanned ({ startedAtMs, endedAtMs }: Attempt, { disturbances }: Observations): boolean {
  return disturbances.some(({ kind, startMs, endMs }) => {
    return kind === 'unplanned' && startMs <= endedAtMs && endMs >= startedAtMs - contactMs
  })
}

function describe ({ id, path, sentAtMs, endedAtMs, status, body, entry }: Attempt, isRun: boolean): string {
  return `${id} ${path} at ${entry.name}, ${isRun ? 'run' : 'not run'}, status ${status}, ${body.length} bytes, ` +
    `cut ${Math.round(endedAtMs - sentAtMs)} ms after it was sent`
}
