import { readFileSync } from 'node:fs'
import { sleep } from '#process/clock'
import { StandinSystem } from '#standin/system'
import type { SystemNode } from '#standin/system'
import { runProgram } from './program.js'
import type { CallResult } from './program.js'
import { runAndExit } from './run.js'

// Starts programs at a fixed rate, whether or not earlier ones have ended. Prints for each two seconds the CPU time per
// call by role, and the latency of the calls as the client measures it.

const programsPerSecond = Number(process.env.LOAD_PROGRAMS_PER_S ?? 10)
const durationS = Number(process.env.LOAD_DURATION_S ?? 20)
/// Between the start of the processes and the first program.
const idleS = Number(process.env.LOAD_IDLE_S ?? 0)
const turns = Number(process.env.LOAD_TURNS ?? 4)
const firstInputBytes = Number(process.env.LOAD_FIRST_INPUT_BYTES ?? 13_000)
const nodeArguments = (process.env.LOAD_NODE_ARGUMENTS ?? '').split(' ').filter(argument => argument !== '')
const reportIntervalMs = 2000
/// Programs still running this long after the last one was started are not waited for.
const finishMs = 5000
const tokenBudget = 5000
/// Of /proc/PID/stat.
const clockTickMs = 10

const system = new StandinSystem({
  command: [process.execPath, process.env.LOAD_DAEMON ?? 'target/chicorynotchd.cjs'],
  entries: Number(process.env.LOAD_ENTRIES ?? 1),
  storages: Number(process.env.LOAD_STORAGES ?? 3),
  engines: Number(process.env.LOAD_ENGINES ?? 6),
  services: Number(process.env.LOAD_SERVICES ?? 3),
  idleRoutes: Number(process.env.LOAD_IDLE_ROUTES ?? 0),
  nodeArguments
})

function readCpuMs (node: SystemNode): number {
  const stat = readFileSync(`/proc/${node.process.pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[11]) + Number(fields[12])) * clockTickMs
}

function sumCpuMs (nodes: readonly SystemNode[]): number {
  return nodes.reduce((sum, node) => sum + readCpuMs(node), 0)
}

function getPercentile (sorted: readonly number[], share: number): number {
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0)
}

/// Formats the calls that ended in one interval, with the CPU time of the entries and the storage instances in it.
function formatInterval (
  startS: number, calls: readonly CallResult[], entryCpuMs: number, storageCpuMs: number
): string {
  const latencies = calls.map(call => call.endMs - call.startMs).sort((a, b) => a - b)
  const perCall = (cpuMs: number): string => (cpuMs / Math.max(1, calls.length)).toFixed(2)
  const statuses: Record<string, number> = {}
  for (const { status } of calls) statuses[status] = (statuses[status] ?? 0) + 1
  return `${String(startS).padStart(4)} s: ${String(calls.length).padStart(5)} calls, ` +
    `entries ${perCall(entryCpuMs)} ms/call, storage ${perCall(storageCpuMs)} ms/call, ` +
    `p50 ${getPercentile(latencies, 0.5)} ms, p99 ${getPercentile(latencies, 0.99)} ms, ${JSON.stringify(statuses)}`
}

async function main (): Promise<number> {
  await system.start()
  await sleep(idleS * 1000)
  process.stdout.write(`CPU time before the first program: entries ${sumCpuMs(system.entries)} ms\n`)
  const entries = system.entries.map(node => node.callersAddress)
  const startedAtMs = performance.now()
  const running = new Set<Promise<unknown>>()
  let calls: CallResult[] = []
  let started = 0
  const timer = setInterval(() => {
    const due = Math.floor((performance.now() - startedAtMs) / 1000 * programsPerSecond)
    for (; started < due; started++) {
      const program = runProgram(entries[started % entries.length]!, turns, tokenBudget, {
        firstInputBytes,
        onCall: call => calls.push(call)
      }).finally(() => running.delete(program))
      running.add(program)
    }
  }, 5)
  let entryCpuMs = sumCpuMs(system.entries)
  let storageCpuMs = sumCpuMs(system.storages)
  for (let atS = 0; atS < durationS; atS += reportIntervalMs / 1000) {
    await sleep(reportIntervalMs)
    const [entryNowMs, storageNowMs] = [sumCpuMs(system.entries), sumCpuMs(system.storages)]
    process.stdout.write(`${formatInterval(atS, calls, entryNowMs - entryCpuMs, storageNowMs - storageCpuMs)}\n`)
    calls = []
    entryCpuMs = entryNowMs
    storageCpuMs = storageNowMs
  }
  clearInterval(timer)
  await Promise.race([Promise.all(running), sleep(finishMs)])
  process.stdout.write(`${started} programs started, ${running.size} still running after ${finishMs} ms\n`)
  // A graceful stop, so that Node.js writes the profiles that LOAD_NODE_ARGUMENTS may ask for.
  await system.stop('SIGTERM')
  return 0
}

runAndExit(system, main)
