import { hasUnplanned } from './circumstances.js'
import { isWholeTurn } from './observations.js'
import type { Attempt, Observations } from './observations.js'

// The sentences of the users' rule LOST on turns that go on from an earlier one.

/// The users' bounds.
export const retentionMs = 60_000
export const recoveryMs = 12_000
/// After a final fault the last part of the traffic counts.
export const finalWindowMs = 4000
/// So many tries that reach no instance break the rule.
export const maxTriesInVain = 5
/// While fewer of the first turns reach an instance, they don't.
const minReachedShare = 0.9
const firstTurnWindowMs = 500
/// While fewer of the other turns are served in the last part, turns that reach no instance by then don't count.
const minServedShare = 4 / 5
/// Ids of instances that run turns begin with this.
const engineIdPrefix = 'models-'

export type TurnCheck = (attempt: Attempt, observations: Observations) => string | null

export const findDeniedTurn: TurnCheck = (attempt, observations) => {
  const { previousTurnId, status, isComplete } = attempt
  if (previousTurnId === null || !isComplete || (status !== 404 && status !== 410)) return null
  const ageMs = findAgeMs(attempt, observations)
  if (ageMs === null) return null
  return `answered ${status}, the previous turn ${previousTurnId} was answered whole ${Math.round(ageMs)} ms before`
}

/// The entries are asked in vain for the same turn, time after time, while nothing is wrong and programs start.
export const findUnreachableTurn: TurnCheck = (attempt, observations) => {
  if (attempt.previousTurnId === null || observations.runs.has(attempt.id)) return null
  if (findAgeMs(attempt, observations) === null) return null
  if (hasUnplanned(attempt, observations)) return null
  const all = triesUntil(attempt, observations).filter(other => !hasUnplanned(other, observations))
  const ofLine = all.filter(other => isOfLine(other, attempt))
  const tries = [all, ofLine].map(some => some.slice(-maxTriesInVain)).find(some => areInVain(some, observations))
  if (tries === undefined) return null
  const firstTurns = findFirstTurnsBeside(tries, observations)
  return `${maxTriesInVain} tries to go on from ${attempt.previousTurnId}${formatStatuses(tries)}; ` +
    `beside ${firstTurns.length} first turns`
}

/// Whether enough tries reached no instance, while first turns did.
function areInVain (tries: readonly Attempt[], observations: Observations): boolean {
  return tries.length >= maxTriesInVain && tries.every(({ id }) => !observations.runs.has(id)) &&
    areReached(findFirstTurnsBeside(tries, observations), observations)
}

/// After the final fault a turn reaches no instance by the end of the recovery time, though others are served.
export const findUnrecoveredTurn: TurnCheck = (attempt, observations) => {
  const { finalFault, runs } = observations
  if (finalFault === null || attempt.startedAtMs < finalFault.backAtMs) return null
  const recoveredAtMs = finalFault.backAtMs + recoveryMs
  const tries = triesUntil(attempt, observations).filter(({ startedAtMs }) => startedAtMs >= finalFault.startMs)
  if (!isLastByRecovery(attempt, tries, recoveredAtMs, observations)) return null
  if (findAgeMs(attempt, observations) === null || tries.some(({ id }) => runs.has(id))) return null
  const others = findOtherTurns(attempt, recoveredAtMs, observations)
  if (!areServed(others)) return null
  return `${tries.length} tries to go on from ${attempt.previousTurnId} in ${Math.round(attempt.endedAtMs - finalFault.backAtMs)} ms ` +
    `after all are back${formatStatuses(tries)}; ${others.filter(isWholeTurn).length} of ${others.length} others were served`
}

/// In the last part of the traffic.
function findOtherTurns ({ previousTurnId }: Attempt, fromMs: number, { attempts }: Observations): Attempt[] {
  return attempts.filter(other => {
    return isTurn(other) && other.previousTurnId !== previousTurnId && other.startedAtMs >= fromMs
  })
}

function areServed (turns: readonly Attempt[]): boolean {
  return turns.length > 0 && turns.filter(isWholeTurn).length >= turns.length * minServedShare
}

/// Whether the attempt is the last try by the end of the recovery time or, if that one was long before, the next try.
function isLastByRecovery (
  attempt: Attempt, tries: readonly Attempt[], recoveredAtMs: number, { attempts }: Observations
): boolean {
  const { previousTurnId, startedAtMs } = attempt
  const isBefore = (other: Attempt): boolean => other.startedAtMs < recoveredAtMs
  if (!isBefore(attempt)) {
    const before = tries.filter(isBefore)
    const isTriedLate = before.some(other => other.startedAtMs >= recoveredAtMs - finalWindowMs)
    return before.length > 0 && before.length === tries.length - 1 && !isTriedLate
  }
  const isTriedAgain = attempts.some(other => {
    return other.previousTurnId === previousTurnId && other.startedAtMs > startedAtMs && isBefore(other)
  })
  return startedAtMs >= recoveredAtMs - finalWindowMs && !isTriedAgain
}

/// The same, of a turn that is given up before the recovery time ends: no try by then reached an instance, and none
/// follows.
export const findGivenUpTurn: TurnCheck = (attempt, observations) => {
  const { finalFault, runs, attempts } = observations
  if (finalFault === null || attempt.previousTurnId === null || findAgeMs(attempt, observations) === null) return null
  const recoveredAtMs = finalFault.backAtMs + recoveryMs
  const tries = attempts.filter(other => {
    return other.previousTurnId === attempt.previousTurnId && isOfLine(other, attempt) &&
      other.startedAtMs >= finalFault.backAtMs
  })
  if (tries.at(-1) !== attempt || attempt.startedAtMs >= recoveredAtMs) return null
  if (tries.some(({ id }) => runs.has(id))) return null
  if (findUnrecoveredTurn(attempt, observations) !== null) return null
  const others = findOtherTurns(attempt, recoveredAtMs, observations)
  if (!areServed(others)) return null
  return `${tries.length} tries to go on from ${attempt.previousTurnId}, the last one, ${attempt.id}, ${Math.round(attempt.startedAtMs - finalFault.backAtMs)} ms ` +
    `after all are back${formatStatuses(tries)}`
}

/// In the last part of the traffic after the final fault a turn reaches no instance, whatever is answered.
export const findUnreachableAtEnd: TurnCheck = (attempt, observations) => {
  const { finalFault, runs } = observations
  if (finalFault === null) return null
  const recoveredAtMs = finalFault.backAtMs + recoveryMs
  const all = triesUntil(attempt, observations).filter(({ startedAtMs }) => startedAtMs >= recoveredAtMs)
  const ofLine = all.filter(other => isOfLine(other, attempt))
  const tries = [all, ofLine].find(some => some.length === maxTriesInVain && !some.some(({ id }) => runs.has(id)))
  if (tries === undefined) return null
  const firstTurns = findFirstTurnsBeside(tries, observations)
  const isRoom = tries.some(other => isUnderHalfFull(other, observations)) || areReached(firstTurns, observations)
  if (findAgeMs(attempt, observations) === null || !isRoom) return null
  return `${maxTriesInVain} tries to go on from ${attempt.previousTurnId} after the recovery time${formatStatuses(tries)}; ` +
    `beside ${firstTurns.length} first turns`
}

/// Whether under half of the places of the engines were taken when the attempt was over.
function isUnderHalfFull ({ endedAtMs }: Attempt, { runs, places }: Observations): boolean {
  const taken = [...runs.values()].flat().filter(run => {
    return run.instanceId.startsWith(engineIdPrefix) && run.startedAtMs <= endedAtMs && run.endedAtMs >= endedAtMs
  })
  return taken.length * 2 < places
}

function isOfLine (other: Attempt, { lineId }: Attempt): boolean {
  return other.lineId === lineId
}

function isTurn ({ path }: Attempt): boolean {
  return path === '/chat/'
}

/// How long before the attempt its previous turn was answered whole; null if it wasn't or isn't kept any more.
function findAgeMs ({ previousTurnId, startedAtMs }: Attempt, { attempts }: Observations): number | null {
  const previous = attempts.find(other => other.id === previousTurnId && isWholeTurn(other))
  if (previous === undefined) return null
  const ageMs = startedAtMs - previous.endedAtMs
  return ageMs > retentionMs ? null : ageMs
}

function triesUntil ({ previousTurnId, startedAtMs }: Attempt, { attempts }: Observations): Attempt[] {
  if (previousTurnId === null) return []
  return attempts.filter(other => other.previousTurnId === previousTurnId && other.startedAtMs <= startedAtMs)
}

function findFirstTurnsBeside (tries: readonly Attempt[], { attempts }: Observations): Attempt[] {
  const startMs = Math.min(...tries.map(({ startedAtMs }) => startedAtMs)) - firstTurnWindowMs
  const endMs = Math.max(...tries.map(({ endedAtMs }) => endedAtMs)) + firstTurnWindowMs
  return attempts.filter(other => {
    return isTurn(other) && other.previousTurnId === null && other.startedAtMs >= startMs && other.startedAtMs <= endMs
  })
}

/// Whether nine tenths of the first turns reach an instance: else the entries are too busy.
function areReached (firstTurns: readonly Attempt[], { runs }: Observations): boolean {
  const reached = firstTurns.filter(({ id }) => runs.has(id))
  return reached.length >= firstTurns.length * minReachedShare
}

function formatStatuses (tries: readonly Attempt[]): string {
  return `, answered ${tries.map(({ status }) => status).join(', ')}`
}
