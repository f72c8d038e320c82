import type { Attempt, Disturbance, Observations } from './observations.js'

// What was the case while an attempt was under way.

/// The users' bounds.
const contactMs = 3000
const configurationApplyMs = 2000
const lossSlackMs = 200
/// A request that has used more of its time doesn't count beside a change of the configuration.
const maxUsedShare = 0.7
/// Timers count whole milliseconds.
const timerErrorMs = 1

export function hasUnplanned (attempt: Attempt, { disturbances }: Observations): boolean {
  return disturbances.some(disturbance => isUnplannedBeside(disturbance, attempt))
}

/// Whether trouble put out of touch the entry that passed the attempt on: its own, or one that was struck meanwhile, as
/// entries relay connections to each other. Trouble without an entry concerns all of them.
export function isOutOfTouch (attempt: Attempt, { disturbances }: Observations): boolean {
  return disturbances.some(disturbance => {
    const { entry } = disturbance
    const beforeMs = entry === null || entry === attempt.entry ? contactMs : 0
    return isUnplannedBeside(disturbance, attempt, beforeMs)
  })
}

function isUnplannedBeside (
  { kind, startMs, endMs }: Disturbance, { startedAtMs, endedAtMs }: Attempt, beforeMs = contactMs
): boolean {
  return kind === 'unplanned' && startMs <= endedAtMs && endMs >= startedAtMs - beforeMs
}

/// Whether the connection ended without a complete answer, and not for a reason that the rule LOST allows.
export function isCut (attempt: Attempt, observations: Observations): boolean {
  const { startedAtMs, endedAtMs, path } = attempt
  const isTurn = path === '/chat/' || path === '/query/'
  const timeoutMs = isTurn ? lowestTimeoutMs(attempt, observations) : Infinity
  return isCutBeforeDeadline(attempt, observations) && endedAtMs - startedAtMs < timeoutMs - timerErrorMs
}

/// Whether the request was cut after it had been passed on, or later than it may be otherwise.
export function isLost (attempt: Attempt, observations: Observations): boolean {
  if (!isCut(attempt, observations)) return false
  if (observations.runs.has(attempt.id)) return true
  const slackMs = lossSlackMs + getOwnDelayMs(attempt, observations)
  return attempt.endedAtMs - attempt.sentAtMs > slackMs && !isCrossing(attempt, slackMs)
}

/// Whether an answer said close while the request was on its way, or before. One that was read by then needs an answer.
function isCrossing ({ sentAtMs, isBehindLast, closeSaidAtMs }: Attempt, slackMs: number): boolean {
  return isBehindLast && closeSaidAtMs !== null && closeSaidAtMs - sentAtMs <= slackMs
}

export function isUsedUp ({ startedAtMs, endedAtMs, deadlineMs }: Attempt): boolean {
  return endedAtMs - startedAtMs >= deadlineMs * maxUsedShare
}

/// Whether the connection ended before any answer. At its timeout a request still has to be answered.
export function isUnanswered (attempt: Attempt, observations: Observations): boolean {
  return attempt.status === 0 && isCutBeforeDeadline(attempt, observations)
}

function isCutBeforeDeadline (attempt: Attempt, { runs }: Observations): boolean {
  const { id, isComplete, isLeft, startedAtMs, endedAtMs, deadlineMs } = attempt
  const isBrokenOff = runs.get(id)?.at(-1)?.isBrokenOff === true
  return !isComplete && !isLeft && !isBrokenOff && endedAtMs - startedAtMs < deadlineMs
}

/// The lowest timeout of turns in the configurations that may have been in force.
function lowestTimeoutMs ({ startedAtMs, endedAtMs }: Attempt, { timeouts }: Observations): number {
  const maybeInForce = timeouts.filter(({ sinceMs }, i) => {
    const untilMs = (timeouts[i + 1]?.sinceMs ?? Infinity) + configurationApplyMs
    return sinceMs <= endedAtMs && untilMs >= startedAtMs
  })
  return Math.min(...maybeInForce.map(({ timeoutMs }) => timeoutMs))
}

/// How late the process that runs the callers itself was between the end of a request and that of its connection.
function getOwnDelayMs ({ sentAtMs, endedAtMs }: Attempt, { delays }: Observations): number {
  const meanwhile = delays.filter(({ atMs, delayMs }) => atMs >= sentAtMs && atMs - delayMs <= endedAtMs)
  return Math.max(0, ...meanwhile.map(({ delayMs }) => delayMs))
}

/// Whether planned work concerned the attempt at its entry.
export function isPlannedWork (disturbance: Disturbance, attempt: Attempt): boolean {
  const { entry, sentAtMs, startedAtMs, endedAtMs } = attempt
  const { kind, startMs, endMs } = disturbance
  if (kind === 'unplanned' || kind === 'signal' || (disturbance.entry !== null && disturbance.entry !== entry)) return false
  if (kind === 'settings') return sentAtMs <= startMs + configurationApplyMs && endedAtMs >= startMs
  return endedAtMs >= startMs && startedAtMs <= endMs && endedAtMs <= endMs
}

export function describe (attempt: Attempt, isRun: boolean): string {
  const { id, path, sentAtMs, endedAtMs, status, body, entry, way, isBehindLast } = attempt
  const place = isBehindLast ? ', behind an answer that said close' : ''
  return `${id} ${path} at ${entry.name} (${way}${place}), ${isRun ? 'run' : 'not run'}, status ${status}, ${body.length} bytes, ` +
    `cut ${Math.round(endedAtMs - sentAtMs)} ms after it was sent`
}
