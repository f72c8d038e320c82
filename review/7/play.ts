import { ClientConnection, Exit, Worker, createId, formatResponse, hasTrouble, runScript, sleep, startSystem } from '../common-2.js'
import type { Record, WorkerRequest } from '../common-2.js'

/// As in `fleetbench kinds`: srv_grey, share .15 of the workers fail x .4 of their requests.
const workers = 7
const failedShare = 0.4
const requests = 400
/// So many are sent before the worker fails that has run most of them.
const usualRequests = 60
/// `for_s` of `fleetbench kinds`.
const greyMs = 5000
const deadlineMs = 2000
const workMs = 10
const zones = ['north', 'south', 'east']

function findMostFrequent (names: readonly string[]): string {
  const count = (name: string): number => names.filter(other => other === name).length
  return names.reduce((best, name) => count(name) > count(best) ? name : best)
}

async function play (record: Record): Promise<number> {
  const system = await startSystem({ entries: 2, storages: 3, engines: 1, services: 0 })
  const runs = new Map<string, string>()
  let failed = 0
  let greyId = ''
  const standins = Array.from({ length: workers }, (_, i) => {
    const id = `tools-${i}`
    let servedGrey = 0
    return new Worker(id, async ({ headers }: WorkerRequest, socket) => {
      const callId = headers.get('attempt-id') ?? ''
      const isGrey = id === greyId && ++servedGrey % 5 < 5 * failedShare
      runs.set(callId, id)
      await sleep(workMs)
      const signature = { 'Attempt-Id': callId, 'Server-Signature': `${id}.${callId}` }
      if (isGrey) failed++
      record.add(`${id} has run ${callId}, and answers ${isGrey ? '503 without Not-Executed' : '200'}`)
      socket.write(isGrey
        ? formatResponse(503, signature, 'the order is booked, its receipt could not be made')
        : formatResponse(200, signature, 'done'))
    })
  })
  for (const [i, standin] of standins.entries()) {
    const address = await standin.listen()
    system.store.put('servers', standin.id, {
      service: 'tools', address, zone: zones[i % zones.length], version: 'v1', slots: 6, state: 'ready', cold_remaining_ms: 0, seq: 1
    })
  }
  await sleep(1500)
  let promised = 0
  let bookedTwice = 0
  const connections = new Map<string, ClientConnection>()
  for (let i = 0; i < requests; i++) {
    if (hasTrouble && i === usualRequests) {
      greyId = findMostFrequent([...runs.values()])
      record.add(`${greyId} fails ${failedShare} of its requests for ${greyMs} ms`)
      setTimeout(() => { greyId = '' }, greyMs)
    }
    const entry = system.entries[i % system.entries.length]!.callersAddress
    const open = connections.get(entry)
    const connection = open?.isOpen === true ? open : new ClientConnection(entry)
    connections.set(entry, connection)
    const attempt = async (target: ClientConnection): Promise<[boolean, string | undefined]> => {
      const callId = createId()
      const headers = { Host: 'demo.example', 'Attempt-Id': callId, 'Deadline-Ms': String(deadlineMs) }
      const { status } = await target.send({ method: 'POST', path: '/charge/1', headers, body: `order ${i}` }, deadlineMs + 500)
      const isPromise = [408, 421, 429, 503].includes(status)
      const ranAt = runs.get(callId)
      const isFalse = isPromise && ranAt !== undefined
      if (isFalse) promised++
      record.add(`client sent order ${i} as ${callId}, got ${status}${isFalse ? `: REFUSED, ${ranAt} has run it` : ''}`)
      return [isPromise, ranAt]
    }
    const [isPromise, ranAt] = await attempt(connection)
    if (!isPromise) continue
    // After a promise that it hasn't run the client sends the order once more, on a new connection.
    const fresh = new ClientConnection(entry)
    const [, ranAgainAt] = await attempt(fresh)
    fresh.close()
    if (ranAt !== undefined && ranAgainAt !== undefined) bookedTwice++
  }
  record.add(`${requests} orders, ${runs.size} runs, ${failed} failed by the grey worker; ${promised} were answered as not run although they had, ${bookedTwice} orders were run twice in all`)
  await system.stop()
  for (const standin of standins) standin.close()
  return promised > 0 ? Exit.broken : Exit.held
}

runScript('review/7', play)
