import { sleep } from '#process/clock'
import type { SystemNode } from '#standin/system'
import { CaseRecord, call, createSystem, exitCodes, hasTrouble, readResidentMb, runCase } from '../common-3.js'

/// As many programs a second as `steward-chat` has; each has six turns, where the sheet has nine in the mean.
const programsPerS = 7.9
const turnsPerProgram = 6
const thinkMs = 20
/// The mean of the site file's requests, and its most.
const usualBytes = 17_000
const longBytes = 100_000
const trafficMs = 80_000
/// The machines of Vanua Learnbook, in MB.
const limitsMb = { entry: 200, storage: 230 }
const watchIntervalMs = 100
const statisticsMs = 10_000
const timeoutMs = 4000
const restartMs = 500
/// RULES.md, Fault.
const maxEnds = 2

const record = new CaseRecord('review/11/record.txt')

runCase(async () => {
  const system = createSystem({ entries: 2, storages: 3, engines: 3, services: 0, memoryMb: limitsMb })
  await system.start()
  const ends = new Map<string, number>()
  const peaks = new Map<string, number>()
  const restarting = new Set<SystemNode>()
  const watch = setInterval(() => {
    for (const node of system.nodes) {
      const residentMb = readResidentMb(node)
      peaks.set(node.name, Math.max(peaks.get(node.name) ?? 0, residentMb))
      if (residentMb <= limitsMb[node.role] || restarting.has(node)) continue
      restarting.add(node)
      ends.set(node.name, (ends.get(node.name) ?? 0) + 1)
      const resident = Math.round(residentMb)
      record.add('killed beyond its memory', { node: node.name, residentMb: resident })
      node.process.kill('SIGKILL')
      setTimeout(() => {
        system.launchAgain(node)
        restarting.delete(node)
      }, restartMs)
    }
  }, watchIntervalMs)
  const body = Buffer.alloc(hasTrouble ? longBytes : usualBytes, 'a')
  const statuses = new Map<string, number>()
  const calls: Promise<void>[] = []
  const startedAtMs = performance.now()
  const runProgram = async (id: string, address: string): Promise<void> => {
    for (let i = 0; i < turnsPerProgram; i++) {
      const turnId = `${id}-${i}`
      const headers = {
        'attempt-id': turnId,
        'program-id': id,
        'session-id': id,
        'program-deadline-ms': '8000',
        'token-budget': '20000',
        'token-usage': '840,120',
        ...i === 0 ? {} : { 'previous-turn': `${id}-${i - 1}` }
      }
      const answer = await call({ address, path: '/chat/turn', headers, body, timeoutMs })
      const outcome = `${answer.status}${answer.isComplete ? '' : ' cut'}`
      const second = Math.floor((performance.now() - startedAtMs) / statisticsMs) * statisticsMs / 1000
      const key = `${second} s: ${outcome}`
      statuses.set(key, (statuses.get(key) ?? 0) + 1)
      record.add('answered', { id: turnId, bytes: body.length, outcome })
      if (outcome !== '200') return
      await sleep(thinkMs)
    }
  }
  for (let i = 0; performance.now() - startedAtMs < trafficMs; i++) {
    calls.push(runProgram(`program-${i}`, system.entries[i % system.entries.length]!.callersAddress))
    for (const engine of system.engines) engine.executedRequests.length = 0
    await sleep(1000 / programsPerS)
  }
  await Promise.all(calls)
  clearInterval(watch)
  while (restarting.size > 0) await sleep(watchIntervalMs)
  await system.stop()
  const crashing = [...ends].filter(([, count]) => count > maxEnds).map(([name]) => name)
  record.add('result', {
    ends: Object.fromEntries(ends),
    peaksMb: Object.fromEntries([...peaks].map(([name, mb]) => [name, Math.round(mb)])),
    answers: Object.fromEntries(statuses)
  })
  return crashing.length >= 2 ? exitCodes.broken : exitCodes.held
})
