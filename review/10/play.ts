import { createConfiguration } from '#standin/system'
import { ClientConnection, Exit, createId, hasTrouble, runScript, sleep, startSystem } from '../common-2.js'
import type { Record } from '../common-2.js'

/// For which the operator wants turns of the added route to be kept, in seconds.
const retentionS = hasTrouble ? 64.1 : 60
const configApplyMs = 2000
const contactMs = 3000
const deadlineMs = 4000
const rounds = 12
/// Of the share that the first routes serve.
const minServedShare = 0.25

interface Route {
  readonly name: string
  readonly path: string
  readonly isTurn: boolean
}

const firstRoutes: readonly Route[] = [
  { name: 'chat', path: '/chat/1', isTurn: true },
  { name: 'query', path: '/query/1', isTurn: false },
  { name: 'charge', path: '/charge/1', isTurn: false }
]
const addedRoute: Route = { name: 'desk', path: '/desk/1', isTurn: true }

interface Counts {
  sent: number
  served: number
  ranInVain: number
}

async function play (record: Record): Promise<number> {
  const system = await startSystem({ entries: 2, storages: 3, engines: 3, services: 3 })
  const workers = [...system.engines, ...system.services]
  const hasRun = (callId: string): boolean => {
    return workers.some(({ executedRequests }) => executedRequests.some(request => request.callId === callId))
  }
  const send = async (route: Route, entry: string, counts: Counts): Promise<void> => {
    const callId = createId()
    const programId = createId()
    const headers = {
      Host: 'demo.example',
      'Attempt-Id': callId,
      'Deadline-Ms': String(deadlineMs),
      ...(route.isTurn
        ? { 'Program-Id': programId, 'Session-Id': programId, 'Program-Deadline-Ms': '20000', 'Token-Usage': '1840,589' }
        : {})
    }
    const connection = new ClientConnection(entry)
    const sentAtMs = performance.now()
    const { status, isWhole, body } = await connection.send({ method: 'POST', path: route.path, headers, body: 'hello' }, deadlineMs + 500)
    connection.close()
    const isServed = status === 200 && isWhole
    counts.sent++
    if (isServed) counts.served++
    else if (hasRun(callId)) counts.ranInVain++
    record.add(`client sent ${callId} on ${route.name} to ${entry}: ${status}${isWhole ? '' : ', broken off'} after ${Math.round(performance.now() - sentAtMs)} ms${hasRun(callId) ? ', run by a worker' : ''}${status === 200 ? '' : ` ${body.slice(0, 160)}`}`)
  }
  const configuration = createConfiguration(2) as { readonly routes: readonly { readonly name: string }[] }
  const chat = configuration.routes.find(({ name }) => name === 'chat')
  const desk = { ...chat, name: 'desk', path_prefix: '/desk/', retention_s: retentionS }
  system.store.put('config', 'main', { ...configuration, routes: [...configuration.routes, desk] })
  record.add(`the operator adds the route desk, which keeps turns for ${retentionS} s`)
  await sleep(configApplyMs + contactMs)
  const first: Counts = { sent: 0, served: 0, ranInVain: 0 }
  const added: Counts = { sent: 0, served: 0, ranInVain: 0 }
  for (let i = 0; i < rounds; i++) {
    await Promise.all(system.entries.flatMap(({ callersAddress }) => [
      send(addedRoute, callersAddress, added),
      ...firstRoutes.map(route => send(route, callersAddress, first))
    ]))
  }
  const share = (counts: Counts): number => counts.served / counts.sent
  record.add(`first routes: ${first.served} of ${first.sent} served; added route: ${added.served} of ${added.sent} served, ${added.ranInVain} run by a worker and not answered whole`)
  for (const { name, outputLines } of system.nodes) {
    for (const line of outputLines.filter(text => /member-lost|invalid uint32/.test(text)).slice(0, 2)) record.add(`${name}: ${line.slice(0, 240)}`)
  }
  await system.stop()
  return share(added) < minServedShare * share(first) ? Exit.broken : Exit.held
}

runScript('review/10', play)
