import type { TimelineCall } from './lines.js'

const rowHeight = 22
const barHeight = 14
const chartWidth = 700
const labelWidth = 330
const selectColour = (outcome: string): string => outcome.startsWith('2') ? '#4a7a4a' : '#b0452f'

/// Renders a program's calls as a self-contained HTML page with an SVG chart.
export function renderTimelinePage (programId: string, calls: readonly TimelineCall[]): string {
  const endMs = Math.max(1, ...calls.map(call => call.endMs))
  const rows = calls.map((call, i) => renderRow(call, i, endMs)).join('\n')
  return `<!doctype html>
<meta charset="utf-8">
<title>program ${escapeHtml(programId)}</title>
<svg xmlns="http://www.w3.org/2000/svg" width="${labelWidth + chartWidth}" height="${(calls.length + 1) * rowHeight}"
  font-family="monospace" font-size="12">
<text x="0" y="${barHeight}">program ${escapeHtml(programId)}: ${calls.length} calls, ${Math.round(endMs)} ms</text>
${rows}
</svg>
`
}

function renderRow (call: TimelineCall, index: number, endMs: number): string {
  const y = (index + 1) * rowHeight
  const x = labelWidth + call.startMs / endMs * chartWidth
  const width = Math.max(1, (call.endMs - call.startMs) / endMs * chartWidth)
  const title = `${Math.round(call.startMs)} to ${Math.round(call.endMs)} ms, ${call.outcome}`
  return `<text x="0" y="${y + barHeight}">${escapeHtml(call.callId)} ${escapeHtml(call.node)}</text>` +
    `<rect x="${x.toFixed(1)}" y="${y + 3}" width="${width.toFixed(1)}" height="${barHeight}" fill="${selectColour(call.outcome)}">` +
    `<title>${escapeHtml(title)}</title></rect>`
}

function escapeHtml (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')
}
