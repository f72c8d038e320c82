/// One event in the log of a process. `fields` excludes those that every line has.
export interface LogLine {
  readonly timeMs: number
  readonly node: string
  /// Name and number of the event, as docs/EVENTS.md lists them.
  readonly name: string
  readonly number: number
  readonly fields: Readonly<Record<string, unknown>>
}

const envelopeFields = new Set(['level', 'time', 'node', 'role', 'event', 'msg'])

/// Parses the log lines of several processes and sorts them by time. Skips text before
/// the JSON object of a line, and lines without one.
export function parseLogLines (text: string): LogLine[] {
  const lines: LogLine[] = []
  for (const raw of text.split('\n')) {
    const line = parseLine(raw)
    if (line !== null) lines.push(line)
  }
  return lines.sort((a, b) => a.timeMs - b.timeMs)
}

function parseLine (raw: string): LogLine | null {
  const start = raw.indexOf('{"level"')
  if (start < 0) return null
  let fields: Record<string, unknown>
  try {
    fields = JSON.parse(raw.slice(start))
  } catch {
    // The last line of a killed process may be truncated.
    return null
  }
  return {
    timeMs: Number(fields.time),
    node: String(fields.node),
    name: String(fields.msg),
    number: Number(fields.event),
    fields: Object.fromEntries(Object.entries(fields).filter(([name]) => !envelopeFields.has(name)))
  }
}

/// Returns the lines of a call or program, and the state changes of the processes that handled it
/// from `aroundMs` before its first line to `aroundMs` after its last.
export function findRelatedLines (lines: readonly LogLine[], id: string, aroundMs: number): LogLine[] {
  const relatedLines = lines.filter(line => mentions(line, id))
  if (relatedLines.length === 0) return []
  const nodes = new Set(relatedLines.map(line => line.node))
  const from = relatedLines[0]!.timeMs - aroundMs
  const to = relatedLines[relatedLines.length - 1]!.timeMs + aroundMs
  return lines.filter(line => mentions(line, id) ||
    (nodes.has(line.node) && isStateChange(line) && line.timeMs >= from && line.timeMs <= to))
}

function mentions (line: LogLine, id: string): boolean {
  const { callId, programId, previousTurnId, ids, turnId } = line.fields
  return [callId, programId, previousTurnId, turnId].includes(id) || (Array.isArray(ids) && ids.includes(id))
}

/// Events 5xx concern single calls; all others are changes of a process's state.
function isStateChange (line: LogLine): boolean {
  return line.number < 500 || line.number >= 600
}

export function formatLine (line: LogLine): string {
  const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
  return `${formatTime(line.timeMs)} ${line.node.padEnd(18)} ${line.name.padEnd(22)} ${fields.join(' ')}`
}

/// Formats the time of day, with milliseconds.
export function formatTime (timeMs: number): string {
  return new Date(timeMs).toISOString().slice(11, 23)
}

/// One call of a program on a timeline. Times are relative to the start of the program's first call.
export interface TimelineCall {
  readonly callId: string
  readonly node: string
  readonly startMs: number
  readonly endMs: number
  /// The status of the response, or the event that ended the call with its refusal or reason.
  readonly outcome: string
}

const finalEvents = new Set(['call-finished', 'call-refused', 'call-abandoned', 'answer-broken', 'answer-undelivered'])

/// Returns the calls of a program in all processes, in order of their start.
export function buildTimeline (lines: readonly LogLine[], programId: string): TimelineCall[] {
  const calls: TimelineCall[] = []
  for (const line of lines) {
    if (line.fields.programId !== programId || !finalEvents.has(line.name)) continue
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
  const firstStartMs = Math.min(...calls.map(call => call.startMs))
  return calls.map(call => ({ ...call, startMs: call.startMs - firstStartMs, endMs: call.endMs - firstStartMs }))
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
