import { formatTime } from './lines.js'
import type { LogLine } from './lines.js'

/// How a run of a process ended, as far as logs tell. The values of `how` in `previous-run-ended` come on top.
export const RunEnd = {
  /// It was told to stop.
  stopped: 'stopped',
  /// It ended by itself and said why.
  exited: 'exited',
  notStarted: 'not-started',
  /// Nothing says how it ended, but that the process was started again.
  unknown: 'unknown',
  /// Its end isn't in the logs, or it still runs.
  open: 'open'
} as const

/// One run of a process: from a start to an end. Times are null if the logs don't have them.
export interface ProcessRun {
  readonly node: string
  pid: number | null
  readonly firstLineMs: number
  lastLineMs: number
  readyMs: number | null
  stoppingMs: number | null
  /// The signal that asked it to stop.
  signal: string | null
  /// A `RunEnd`, or what the next start said about it.
  end: string
  reason: string | null
  exitCode: number | null
  /// How many calls were in flight when it was asked to stop, and how many of them it aborted.
  callsInFlight: number | null
  callsAborted: number | null
  /// The fields of the next start's `previous-run-ended`.
  nextStart: Readonly<Record<string, unknown>> | null
}

/// By the name of an event: what it says about the run that logged it.
const readers: Readonly<Record<string, (run: ProcessRun, line: LogLine) => void>> = {
  'process-started': (run, { timeMs, fields }) => {
    run.readyMs = timeMs
    run.pid = readNumber(fields.pid)
  },
  'process-stopping': (run, { timeMs, fields }) => {
    run.stoppingMs = timeMs
    run.signal = readText(fields.signal)
    run.callsInFlight = readNumber(fields.callsInFlight)
  },
  'process-stopped': (run, { fields }) => {
    run.exitCode = readNumber(fields.exitCode)
    run.reason ??= readText(fields.reason)
    run.callsAborted = readNumber(fields.callsAborted)
    if (run.end === RunEnd.open) run.end = findSaidEnd(run)
  },
  'start-failed': (run, { fields }) => {
    run.end = RunEnd.notStarted
    run.reason = readText(fields.reason)
  }
}

/// Returns the runs of all processes in order of their start. `lines` are in order of time.
export function findRuns (lines: readonly LogLine[]): ProcessRun[] {
  const runs: ProcessRun[] = []
  const latestByNode = new Map<string, ProcessRun>()
  for (const line of lines) {
    let run = latestByNode.get(line.node)
    if (run === undefined || isStart(line, run)) {
      const next = createRun(line)
      if (run !== undefined) endByNextStart(run, line)
      latestByNode.set(line.node, run = next)
      runs.push(run)
    }
    run.lastLineMs = line.timeMs
    readers[line.name]?.(run, line)
  }
  return runs
}

/// Whether the line belongs to a later run of the same node. A failed start logs `process-stopped` last.
function isStart ({ name }: LogLine, run: ProcessRun): boolean {
  if (name === 'previous-run-ended') return true
  if (name === 'process-stopped') return run.exitCode !== null
  return run.end !== RunEnd.open || (name === 'process-started' && run.readyMs !== null)
}

function createRun ({ node, timeMs }: LogLine): ProcessRun {
  return {
    node,
    pid: null,
    firstLineMs: timeMs,
    lastLineMs: timeMs,
    readyMs: null,
    stoppingMs: null,
    signal: null,
    end: RunEnd.open,
    reason: null,
    exitCode: null,
    callsInFlight: null,
    callsAborted: null,
    nextStart: null
  }
}

function findSaidEnd ({ readyMs, stoppingMs, exitCode }: ProcessRun): string {
  if (stoppingMs !== null && (exitCode ?? 0) === 0) return RunEnd.stopped
  return readyMs === null ? RunEnd.notStarted : RunEnd.exited
}

function endByNextStart (run: ProcessRun, { name, fields }: LogLine): void {
  const hasSaid = name === 'previous-run-ended'
  run.nextStart = hasSaid ? fields : null
  run.pid ??= hasSaid ? readNumber(fields.pid) : null
  if (run.end !== RunEnd.open) return
  run.end = hasSaid ? String(fields.how) : RunEnd.unknown
  run.reason = hasSaid ? readText(fields.reason) : null
}

const readNumber = (value: unknown): number | null => typeof value === 'number' ? value : null
const readText = (value: unknown): string | null => typeof value === 'string' ? value : null

const nodeWidth = 18
const endWidth = 17

export function formatRuns (runs: readonly ProcessRun[]): string {
  return runs.map(run => {
    const details = [formatStart(run), formatStop(run), formatReason(run), formatNextStart(run)]
    const pid = `pid ${run.pid ?? '?'}`.padEnd(12)
    const head = `${formatTime(run.firstLineMs)} ${run.node.padEnd(nodeWidth)} ${pid} ${run.end.padEnd(endWidth)}`
    return `${head} ${details.filter(text => text !== '').join('; ')}`
  }).join('\n')
}

function formatStart ({ firstLineMs, readyMs }: ProcessRun): string {
  return readyMs === null ? 'never ready' : `ready after ${readyMs - firstLineMs} ms`
}

function formatStop ({ stoppingMs, lastLineMs, signal, callsInFlight, callsAborted }: ProcessRun): string {
  if (stoppingMs === null) return `last line at ${formatTime(lastLineMs)}`
  const calls = callsInFlight === null ? '' : `, ${callsInFlight} calls in flight, ${callsAborted ?? '?'} aborted`
  return `${signal} at ${formatTime(stoppingMs)}, last line ${lastLineMs - stoppingMs} ms later${calls}`
}

function formatReason ({ exitCode, reason, signal }: ProcessRun): string {
  const status = exitCode === null ? '' : `exit status ${exitCode}`
  return [status, reason === signal ? '' : reason ?? ''].filter(text => text !== '').join(', ')
}

function formatNextStart ({ nextStart }: ProcessRun): string {
  if (nextStart === null) return ''
  const { how, lastSeenMsAgo, residentMb, memoryLimitMb } = nextStart
  if (lastSeenMsAgo === undefined) return `next start: ${String(how)}`
  const limit = memoryLimitMb === null ? '' : ` of ${String(memoryLimitMb)}`
  return `next start: ${String(how)}, last seen ${String(lastSeenMsAgo)} ms before with ${String(residentMb)}${limit} MB`
}
