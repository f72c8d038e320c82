import * as z from 'zod/mini'
import { isRunning } from './processidentity.js'
import type { ProcessIdentity } from './processidentity.js'

/// The states of a process in its run record.
export const RunState = {
  starting: 'starting',
  ready: 'ready',
  stopping: 'stopping',
  /// Ended after it was told to stop.
  stopped: 'stopped',
  /// Ended by itself, for the reason in the record.
  exited: 'exited'
} as const

export type RunState = typeof RunState[keyof typeof RunState]

/// How the previous run of a node ended, as far as its record tells.
export const PreviousEnd = {
  noRecord: 'no-record',
  unreadable: 'unreadable',
  stillRunning: 'still-running',
  stopped: 'stopped',
  exited: 'exited',
  machineRestarted: 'machine-restarted',
  unknownStarting: 'unknown-starting',
  unknownRunning: 'unknown-running',
  unknownStopping: 'unknown-stopping'
} as const

export type PreviousEnd = typeof PreviousEnd[keyof typeof PreviousEnd]

const time = z.number().check(z.minimum(0))
const optionalText = z.nullable(z.string())

const recordSchema = z.object({
  pid: z.number().check(z.int(), z.positive()),
  bootId: optionalText,
  startTicks: optionalText,
  state: z.enum(Object.values(RunState)),
  /// Wall clock.
  startedAtMs: time,
  lastSeenAtMs: time,
  residentMb: z.number(),
  memoryLimitMb: z.nullable(z.number()),
  reason: optionalText,
  exitCode: z.nullable(z.number()),
  /// How many runs in a row, up to the one before, ended other than by a stop.
  unplannedEnds: z.number()
})

/// The contents of a run record.
export type RunRecordContents = z.infer<typeof recordSchema>

/// What a start knows about the run before it: the fields of the event `previous-run-ended`.
export interface PreviousRun {
  readonly how: PreviousEnd
  /// How many runs in a row, up to that one, ended other than by a stop.
  readonly unplannedEnds: number
  readonly pid?: number
  readonly reason?: string | null
  readonly exitCode?: number | null
  /// From its start until it was last seen.
  readonly ranMs?: number
  /// From there until now; both by the wall clock.
  readonly lastSeenMsAgo?: number
  /// When it was last seen.
  readonly residentMb?: number
  readonly memoryLimitMb?: number | null
}

const endByState: Readonly<Record<RunState, PreviousEnd>> = {
  [RunState.starting]: PreviousEnd.unknownStarting,
  [RunState.ready]: PreviousEnd.unknownRunning,
  [RunState.stopping]: PreviousEnd.unknownStopping,
  [RunState.stopped]: PreviousEnd.stopped,
  [RunState.exited]: PreviousEnd.exited
}

/// Reads how the run ended that left this record. `text` is null if there is none.
export function describePreviousRun (text: string | null, own: ProcessIdentity, nowMs: number): PreviousRun {
  if (text === null) return { how: PreviousEnd.noRecord, unplannedEnds: 0 }
  const record = parseRecord(text)
  if (record === null) return { how: PreviousEnd.unreadable, unplannedEnds: 1 }
  const { pid, reason, exitCode, residentMb, memoryLimitMb, startedAtMs, lastSeenAtMs } = record
  const how = findEnd(record, own)
  return {
    how,
    unplannedEnds: how === PreviousEnd.stopped ? 0 : record.unplannedEnds + 1,
    pid,
    reason,
    exitCode,
    ranMs: lastSeenAtMs - startedAtMs,
    lastSeenMsAgo: nowMs - lastSeenAtMs,
    residentMb,
    memoryLimitMb
  }
}

function findEnd (record: RunRecordContents, own: ProcessIdentity): PreviousEnd {
  const end = endByState[record.state]
  if (end === PreviousEnd.stopped || end === PreviousEnd.exited) return end
  if (hasMachineRestarted(record, own)) return PreviousEnd.machineRestarted
  return isRunning(record) ? PreviousEnd.stillRunning : end
}

function hasMachineRestarted (record: RunRecordContents, own: ProcessIdentity): boolean {
  return record.bootId !== null && own.bootId !== null && record.bootId !== own.bootId
}

function parseRecord (text: string): RunRecordContents | null {
  try {
    return recordSchema.parse(JSON.parse(text))
  } catch {
    return null
  }
}
