import { sleep } from '#process/clock'
import { Outcome, hasTrouble, runCase } from '../common.js'
import type { Run } from '../common.js'

// Another writer puts an entry into the list of workers whose address is no address of a worker. Then a worker leaves
// without notice: its entry is removed, and it serves on for a while.

const address = '127.0.0.0x100:8080'
const entry = {
  service: 'tools', zone: 'north', version: 'v1', slots: 6, state: 'ready', cold_remaining_ms: 0, seq: 1
}
const drainMs = 2000
const beforeMs = 2000
const observedMs = 4000
const requestIntervalMs = 20

async function play (run: Run): Promise<Outcome> {
  const system = await run.startSystem({ entries: 2, storages: 3, engines: 1, services: 3 })
  const runs = new Map(system.services.map(worker => [worker, [] as number[]]))
  for (const [worker, runAtMs] of runs) {
    const { onRun } = worker
    worker.onRun = request => {
      runAtMs.push(performance.now())
      onRun(request)
    }
  }
  let isOver = false
  const requests = run.sendFirstTurns(system, requestIntervalMs, () => isOver, { path: '/check/1' })
  await sleep(beforeMs)
  if (hasTrouble) {
    system.store.put('servers', 'another-writer', { ...entry, address })
    run.write(`another writer stores servers/another-writer with the address ${address}`)
  }
  await sleep(beforeMs)
  const [leaving, runAtMs] = [...runs].sort(([, a], [, b]) => b.length - a.length)[0]!
  system.store.remove('servers', leaving.options.id)
  const removedAtMs = performance.now()
  run.write(`the entry of ${leaving.options.id} is removed`)
  await sleep(drainMs + observedMs)
  isOver = true
  const statuses = (await requests).map(({ status }) => status)
  const before = runAtMs.filter(atMs => atMs < removedAtMs).length
  const late = runAtMs.filter(atMs => atMs > removedAtMs + drainMs).length
  run.say(`${statuses.length} requests, ${statuses.filter(status => status === 200).length} answered 200; ${leaving.options.id} ran ` +
    `${before} before its entry was removed, and ${late} later than drain_ms after that`)
  if (before < statuses.length / 10) return Outcome.notRun
  return late > 0 ? Outcome.broken : Outcome.held
}

runCase(process.argv[2]!, play)
