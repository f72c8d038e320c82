import type { SystemNode } from '#standin/system'
import { Observations } from '../src/observations.js'
import type { Attempt, Disturbance } from '../src/observations.js'

/// Entries that exist in name only.
export const entry = { name: 'entry-0', role: 'entry' } as unknown as SystemNode
export const otherEntry = { name: 'entry-1', role: 'entry' } as unknown as SystemNode

/// An attempt of a turn that was answered whole after 300 ms, but for what `fields` say.
export function observe (id: string, startedAtMs: number, fields: Partial<Attempt> = {}): Attempt {
  const endedAtMs = startedAtMs + 300
  return {
    id,
    path: '/chat/',
    method: 'POST',
    entry,
    isKept: false,
    deadlineMs: 4000,
    previousTurnId: null,
    lineId: 'main',
    startedAtMs,
    sentAtMs: startedAtMs,
    endedAtMs,
    status: 200,
    body: '',
    isComplete: true,
    isLeft: false,
    isBehindLast: false,
    closeSaidAtMs: null,
    way: 'plain',
    ...fields
  }
}

export const cut: Partial<Attempt> = { status: 0, isComplete: false }
export const refused: Partial<Attempt> = { status: 503 }

export function createDisturbance (
  kind: Disturbance['kind'], startMs: number, endMs: number, at: SystemNode | null = null
): Disturbance {
  return { kind, entry: at, startMs, endMs, text: kind }
}

export interface Observed {
  readonly attempts: readonly Attempt[]
  /// Ids of attempts that an instance ran.
  readonly runIds?: readonly string[]
  readonly disturbances?: readonly Disturbance[]
  readonly fields?: Partial<Observations>
}

export function createObservations ({ attempts, runIds = [], disturbances = [], fields = {} }: Observed): Observations {
  const observations = new Observations()
  for (const attempt of attempts) observations.addAttempt(attempt)
  for (const id of runIds) observations.runs.set(id, [{ instanceId: 'models-0', startedAtMs: 0, endedAtMs: 0, isBrokenOff: false }])
  observations.disturbances.push(...disturbances)
  return Object.assign(observations, fields)
}
