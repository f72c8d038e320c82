import { StandinSystem } from '#standin/system'
import { runProgram } from './program.js'
import type { ProgramResult } from './program.js'
import { runAndExit } from './run.js'

const programs = Number(process.env.DEMO_PROGRAMS ?? 12)
const turns = 4
const tokenBudget = 2000
const barWidth = 60

const system = new StandinSystem({
  command: [process.execPath, 'target/chicorynotchd.cjs'],
  entries: 2,
  storages: 3,
  engines: 2,
  services: 1,
  nodeArguments: (process.env.DEMO_NODE_ARGUMENTS ?? '').split(' ').filter(argument => argument !== '')
})

/// Draws a program's calls as bars on a common time axis, one line per call.
function drawProgram ({ programId, calls }: ProgramResult): string {
  const endMs = Math.max(...calls.map(call => call.endMs))
  const lines = [...calls].sort((a, b) => a.startMs - b.startMs).map(call => {
    const from = Math.floor(call.startMs / endMs * barWidth)
    const length = Math.max(1, Math.round((call.endMs - call.startMs) / endMs * barWidth))
    const bar = ' '.repeat(from) + '='.repeat(Math.min(length, barWidth - from))
    return `  ${call.label.padEnd(20)} |${bar.padEnd(barWidth)}| ${String(call.status)} ${Math.round(call.endMs - call.startMs)} ms`
  })
  return [`program ${programId}`, ...lines].join('\n')
}

async function main (): Promise<number> {
  await system.start()
  const entries = system.entries.map(node => node.callersAddress)
  const results = await Promise.all(Array.from(
    { length: programs },
    (_, i) => runProgram(entries[i % entries.length]!, turns, tokenBudget)
  ))
  const calls = results.flatMap(program => program.calls)
  const failed = calls.filter(call => call.status !== 200)
  const executed = [...system.engines, ...system.services].flatMap(upstream => upstream.executedRequests)
  const duplicateCount = executed.length - new Set(executed.map(request => request.callId)).size
  process.stdout.write(`${drawProgram(results[0]!)}\n\n${programs} programs, ${calls.length} calls, ${failed.length} failed, ${duplicateCount} run twice\n`)
  return failed.length === 0 && duplicateCount === 0 ? 0 : 1
}

runAndExit(system, main)
