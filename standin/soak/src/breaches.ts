import { hasUnplanned, isLost, isPlannedWork, isUsedUp } from './circumstances.js'
import type { Attempt, Disturbance, Observations } from './observations.js'
import type { Finding } from './rules.js'

// The users' rules LOST, ROUTE and BUDGET count some sentences only from a number on. Each finding is a fault; this
// says which of them break the rule.

/// More than so many requests from kept connections break the rule.
const maxLostOnKeptConnections = 3
/// So do more requests than this that are run at more instances than their route allows.
const maxRunAtTooMany = 3
/// Beside a configuration an entry has to cut requests so many times as often as at other times.
const minCutRatio = 3

export type Breach = (findings: readonly Finding[], observations: Observations) => boolean

/// By the name of the finding's rule: whether all findings of it together break the rule.
const breaches: Readonly<Record<string, Breach>> = {
  'lost on a kept connection': findings => findings.length > maxLostOnKeptConnections,
  'lost around planned work': (findings, observations) => findings.some(({ attempt }) => {
    return isNearOwnWork(attempt, observations) || isCutMoreOften(attempt, observations)
  }),
  'run at too many instances': findings => findings.length > maxRunAtTooMany,
  'run by another service': findings => findings.length > 0,
  'previous turn denied': findings => findings.length > 0,
  'previous turn reaches no instance': findings => findings.length > 0,
  'previous turn not reached by the end of recovery': findings => findings.length > 0,
  'previous turn given up before the end of recovery': findings => findings.length > 0,
  'previous turn reaches no instance at the end': findings => findings.length > 0
}

export function findBreaches (findings: readonly Finding[], observations: Observations): string[] {
  return Object.entries(breaches).flatMap(([rule, isBroken]) => {
    const counted = findings.filter(finding => finding.rule === rule)
    return counted.length > 0 && isBroken(counted, observations) ? [`${rule}: ${counted.length}`] : []
  })
}

/// Whether a stop or a SIGHUP of the attempt's own entry was planned work for it.
function isNearOwnWork (attempt: Attempt, { disturbances }: Observations): boolean {
  return disturbances.some(disturbance => disturbance.kind !== 'configuration' && isPlannedWork(disturbance, attempt))
}

function isCutMoreOften ({ entry }: Attempt, observations: Observations): boolean {
  const { attempts, disturbances } = observations
  const windows = disturbances.filter(({ kind }) => kind === 'configuration')
  const isBeside = ({ endedAtMs }: Attempt): boolean => windows.some(window => isWithin(window, endedAtMs))
  const own = attempts.filter(attempt => attempt.entry === entry)
  const share = (all: readonly Attempt[]): number => {
    return all.length === 0 ? 0 : all.filter(attempt => isCutByEntry(attempt, observations)).length / all.length
  }
  return share(own.filter(isBeside)) > minCutRatio * share(own.filter(attempt => !isBeside(attempt)))
}

/// Whether the request would count beside a configuration.
function isCutByEntry (attempt: Attempt, observations: Observations): boolean {
  return isLost(attempt, observations) && !isUsedUp(attempt) && !hasUnplanned(attempt, observations)
}

function isWithin ({ startMs, endMs }: Disturbance, atMs: number): boolean {
  return atMs >= startMs && atMs <= endMs
}
