import { sleep } from '#process/clock'
import { StandinSystem } from '#standin/system'
import type { SystemNode } from '#standin/system'
import { StoreFault } from '#standin/store'
import { continueTurn, runProgram } from './program.js'
import type { CallResult } from './program.js'
import { runAndExit } from './run.js'

// Runs programs against real processes while these are killed, lose their disks or can't reach the store. Then checks
// that no stored turn is lost, and that no call of the tool `charge` has run twice or in spite of a refusal.

const rounds = Number(process.env.SOAK_ROUNDS ?? 6)
const programsAtOnce = 3
const turns = 3
const tokenBudget = 5000
const outageMs = 1500
const recoveryMs = 2500
/// The stand-ins' configuration retains turns for 60 s, so younger turns must still be stored.
const maxCheckedAgeMs = 55_000

const system = new StandinSystem({
  command: [process.execPath, 'target/chicorynotchd.cjs'], entries: 3, storages: 3, engines: 2, services: 2
})

/// Injected one per round, in this order. None exceeds what the system tolerates.
const faults: readonly ((round: number) => Promise<void>)[] = [
  async round => system.restart(pick(system.storages, round), 'SIGKILL', true),
  async round => system.restart(pick(system.entries, round), 'SIGKILL', false),
  async () => {
    system.store.fault = StoreFault.silent
    await sleep(outageMs)
    system.store.fault = StoreFault.none
  },
  async round => system.restart(pick(system.entries, round), 'SIGTERM', false),
  async () => { await Promise.all(system.storages.map(node => system.restart(node, 'SIGKILL', false))) },
  async round => system.restart(pick(system.storages, round), 'SIGTERM', true)
]

function pick (nodes: readonly SystemNode[], round: number): SystemNode {
  return nodes[round % nodes.length]!
}

async function main (): Promise<number> {
  await system.start()
  const calls: CallResult[] = []
  const run = { isFinished: false }
  const clients = Array.from({ length: programsAtOnce }, async (_, clientIndex) => {
    for (let i = clientIndex; !run.isFinished; i++) {
      calls.push(...(await runProgram(pick(system.entries, i).callersAddress, turns, tokenBudget)).calls)
    }
  })
  for (let round = 0; round < rounds; round++) {
    await sleep(outageMs)
    await faults[round % faults.length]!(round)
    await sleep(recoveryMs)
    await system.waitUntilReady()
  }
  run.isFinished = true
  await Promise.all(clients)
  const storedTurns = calls.filter(call => call.label.startsWith('turn') && call.status === 200)
  const lostCount = await countLostTurns(storedTurns)
  const charges = system.services.flatMap(service => service.executedRequests).filter(request => request.path.startsWith('/charge/'))
  const duplicateCount = charges.length - new Set(charges.map(request => request.callId)).size
  const statusByCallId = new Map(calls.map(call => [call.callId, call.status]))
  const executedDespiteRefusal = charges
    .filter(({ callId }) => [429, 503].includes(statusByCallId.get(callId) ?? 0)).length
  const successCount = calls.filter(call => call.status === 200).length
  process.stdout.write(`${rounds} faults, ${calls.length} calls, ${successCount} served, ${storedTurns.length} turns stored, ${lostCount} lost, ` +
    `${duplicateCount} charges run twice, ${executedDespiteRefusal} run despite refusal\n`)
  return lostCount === 0 && duplicateCount === 0 && executedDespiteRefusal === 0 && successCount > 0 ? 0 : 1
}

/// Counts the turns within their retention period that can't be continued.
async function countLostTurns (storedTurns: readonly CallResult[]): Promise<number> {
  let lostCount = 0
  let checkedCount = 0
  for (const [i, turn] of storedTurns.entries()) {
    if (performance.now() - turn.endedAtMs > maxCheckedAgeMs) continue
    checkedCount++
    if (await continueTurn(pick(system.entries, i).callersAddress, turn.callId) !== 200) lostCount++
  }
  process.stdout.write(`${checkedCount} of ${storedTurns.length} turns were within their retention period at the end\n`)
  return lostCount
}

runAndExit(system, main)
