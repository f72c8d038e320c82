import { sleep } from '#process/clock'
import { StandinSystem } from '#standin/system'
import type { SystemNode } from '#standin/system'
import { StoreFault } from '#standin/store'
import { continueTurn, runProgram } from './program.js'
import type { CallResult } from './program.js'
import { runAndExit } from './run.js'

/// Plays programs against real processes while these are killed, lose their
/// disks and their store, and checks what must hold in the end.
const rounds = Number(process.env.SOAK_ROUNDS ?? 6)
const programsAtOnce = 3
const turns = 3
const tokenBudget = 5000
const outageMs = 1500
const settleMs = 2500
/// The stand-ins' configuration keeps turns for 60 s.
const surelyKeptMs = 55_000

const system = new StandinSystem({
  command: [process.execPath, 'target/chicorynotchd.cjs'], entries: 3, storages: 3, engines: 2, services: 2
})

/// The faults in turn; each leaves what is tolerated.
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
  const seen: CallResult[] = []
  const progress = { isOver: false }
  const players = Array.from({ length: programsAtOnce }, async (_, player) => {
    for (let i = player; !progress.isOver; i++) {
      seen.push(...(await runProgram(pick(system.entries, i).callers, turns, tokenBudget)).calls)
    }
  })
  for (let round = 0; round < rounds; round++) {
    await sleep(outageMs)
    await faults[round % faults.length]!(round)
    await sleep(settleMs)
    await system.waitUntilReady()
  }
  progress.isOver = true
  await Promise.all(players)
  const kept = seen.filter(call => call.what.startsWith('turn') && call.status === 200)
  const lost = await countLost(kept)
  const charges = system.services.flatMap(service => service.executedRequests).filter(request => request.path.startsWith('/charge/'))
  const repeated = charges.length - new Set(charges.map(request => request.callId)).size
  const answered = new Map(seen.map(call => [call.callId, call.status]))
  const falselyRefused = charges.filter(({ callId }) => [429, 503].includes(answered.get(callId) ?? 0)).length
  const served = seen.filter(call => call.status === 200).length
  process.stdout.write(`${rounds} faults, ${seen.length} calls, ${served} served, ${kept.length} turns kept, ${lost} lost, ` +
    `${repeated} charges run twice, ${falselyRefused} run though refused\n`)
  return lost === 0 && repeated === 0 && falselyRefused === 0 && served > 0 ? 0 : 1
}

/// How many turns that are still owed can't be continued.
async function countLost (kept: readonly CallResult[]): Promise<number> {
  let lost = 0
  let checked = 0
  for (const [i, turn] of kept.entries()) {
    if (performance.now() - turn.endedAtMs > surelyKeptMs) continue
    checked++
    if (await continueTurn(pick(system.entries, i).callers, turn.callId) !== 200) lost++
  }
  process.stdout.write(`${checked} of ${kept.length} turns were owed at the end\n`)
  return lost
}

runAndExit(system, main)
