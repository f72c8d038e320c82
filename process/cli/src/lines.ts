/// One event of a process's log.
export interface LogLine {
  readonly timeMs: number
  readonly node: string
  readonly name: string
  readonly number: number
  readonly fields: Readonly<Record<string, unknown>>
}

const own = new Set(['level', 'time', 'node', 'role', 'event', 'msg'])

/// Reads log lines of several processes, in order of time. What stands before
/// a line's object is passed over, as is what holds none.
export function parseLogLines (text: string): LogLine[] {
  const lines: LogLine[] = []
  for (const raw of text.split('\n')) {
    const line = readLine(raw)
    if (line !== null) lines.push(line)
  }
  return lines.sort((a, b) => a.timeMs - b.timeMs)
}

function readLine (raw: string): LogLine | null {
  const start = raw.indexOf('{"level"')
  if (start < 0) return null
  let fields: Record<string, unknown>
  try {
    fields = JSON.parse(raw.slice(start))
  } catch {
    // A line that was cut off, at the end of a killed process's output.
    return null
  }
  return {
    timeMs: Number(fields.time),
    node: String(fields.node),
    name: String(fields.msg),
    number: Number(fields.event),
    fields: Object.fromEntries(Object.entries(fields).filter(([name]) => !own.has(name)))
  }
}

/// The lines of a call or a program, and what the processes that had it
/// believed otherwise within `aroundMs` of them.
export function findRelatedLines (lines: readonly LogLine[], id: string, aroundMs: number): LogLine[] {
  const about = lines.filter(line => mentions(line, id))
  if (about.length === 0) return []
  const nodes = new Set(about.map(line => line.node))
  const from = about[0]!.timeMs - aroundMs
  const to = about[about.length - 1]!.timeMs + aroundMs
  return lines.filter(line => mentions(line, id) ||
    (nodes.has(line.node) && isBelief(line) && line.timeMs >= from && line.timeMs <= to))
}

function mentions (line: LogLine, id: string): boolean {
  const { callId, programId, ids, turnId } = line.fields
  return callId === id || programId === id || turnId === id || (Array.isArray(ids) && ids.includes(id))
}

/// Changes of what a process believes have numbers below 500 or from 600 on.
function isBelief (line: LogLine): boolean {
  return line.number < 500 || line.number >= 600
}

export function formatLine (line: LogLine): string {
  const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
  return `${new Date(line.timeMs).toISOString().slice(11, 23)} ${line.node.padEnd(18)} ${line.name.padEnd(22)} ${fields.join(' ')}`
}

/// One call of a program on the time line.
export interface TimelineCall {
  readonly callId: string
  readonly node: string
  readonly startMs: number
  readonly endMs: number
  readonly outcome: string
}

const endings = new Set(['call-finished', 'call-refused', 'call-abandoned', 'answer-broken'])

/// The calls of a program over all processes, from its first one on.
export function buildTimeline (lines: readonly LogLine[], programId: string): TimelineCall[] {
  const calls: TimelineCall[] = []
  for (const line of lines) {
    if (line.fields.programId !== programId || !endings.has(line.name)) continue
    const durationMs = Number(line.fields.durationMs ?? 0)
    const outcome = line.name === 'call-finished' ? String(line.fields.status) : `${line.name} ${String(line.fields.refusal ?? line.fields.reason)}`
    calls.push({
      callId: String(line.fields.callId),
      node: line.node,
      startMs: line.timeMs - durationMs,
      endMs: line.timeMs,
      outcome
    })
  }
  const first = Math.min(...calls.map(call => call.startMs))
  return calls.map(call => ({ ...call, startMs: call.startMs - first, endMs: call.endMs - first }))
    .sort((a, b) => a.startMs - b.startMs)
}

const barWidth = 50

export function formatTimeline (calls: readonly TimelineCall[]): string {
  const endMs = Math.max(1, ...calls.map(call => call.endMs))
  return calls.map(call => {
    const from = Math.min(barWidth - 1, Math.floor(call.startMs / endMs * barWidth))
    const length = Math.max(1, Math.round((call.endMs - call.startMs) / endMs * barWidth))
    const bar = (' '.repeat(from) + '='.repeat(length)).slice(0, barWidth).padEnd(barWidth)
    return `${call.callId} ${call.node.padEnd(18)} |${bar}| ${Math.round(call.endMs - call.startMs)} ms ${call.outcome}`
  }).join('\n')
}
