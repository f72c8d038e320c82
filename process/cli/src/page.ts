import type { TimelineCall } from './lines.js'

const rowHeight = 22
const barHeight = 14
const chartWidth = 700
const labelWidth = 330
const colourOf = (outcome: string): string => outcome.startsWith('2') ? '#4a7a4a' : '#b0452f'

/// A program's calls as one HTML page that needs nothing else.
export function timelinePage (programId: string, calls: readonly TimelineCall[]): string {
  const endMs = Math.max(1, ...calls.map(call => call.endMs))
  const rows = calls.map((call, i) => rowOf(call, i, endMs)).join('\n')
  return `<!doctype html>
<meta charset="utf-8">
<title>program ${escape(programId)}</title>
<svg xmlns="http://www.w3.org/2000/svg" width="${labelWidth + chartWidth}" height="${(calls.length + 1) * rowHeight}"
  font-family="monospace" font-size="12">
<text x="0" y="${barHeight}">program ${escape(programId)}: ${calls.length} calls, ${Math.round(endMs)} ms</text>
${rows}
</svg>
`
}

function rowOf (call: TimelineCall, index: number, endMs: number): string {
  const y = (index + 1) * rowHeight
  const x = labelWidth + call.startMs / endMs * chartWidth
  const width = Math.max(1, (call.endMs - call.startMs) / endMs * chartWidth)
  const title = `${Math.round(call.startMs)} to ${Math.round(call.endMs)} ms, ${call.outcome}`
  return `<text x="0" y="${y + barHeight}">${escape(call.callId)} ${escape(call.node)}</text>` +
    `<rect x="${x.toFixed(1)}" y="${y + 3}" width="${width.toFixed(1)}" height="${barHeight}" fill="${colourOf(call.outcome)}">` +
    `<title>${escape(title)}</title></rect>`
}

function escape (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')
}
