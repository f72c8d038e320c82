import { ClientConnection, Exit, createId, hasTrouble, runScript, sleep, startSystem } from '../common-2.js'
import type { ClientResponse, Record } from '../common-2.js'

/// `limits.max_body_bytes` of the configuration that the stand-ins use, and of the users' sites.
const maxBodyBytes = 4_194_304
const longTurns = 4
const deadlineMs = 4000
const contactMs = 3000
const tries = 6
const tryDelayMs = 5000
const firstTurnIntervalMs = 50
/// As the machines of tunda-ops.
const memoryMb = { entry: 350, storage: 390 }

async function play (record: Record): Promise<number> {
  const system = await startSystem({ entries: 4, storages: 3, engines: 3, services: 1, memoryMb })
  const programId = createId()
  const [first, second] = system.entries
  const wasRun = (callId: string): boolean => {
    return system.engines.some(engine => engine.executedRequests.some(request => request.callId === callId))
  }
  const send = async (
    entry: string, program: string, previous: string | null, body: Buffer
  ): Promise<[string, ClientResponse]> => {
    const callId = createId()
    const headers = {
      Host: 'demo.example',
      'Attempt-Id': callId,
      'Deadline-Ms': String(deadlineMs),
      'Program-Id': program,
      'Session-Id': program,
      'Program-Deadline-Ms': '60000',
      'Token-Budget': '20000',
      'Token-Usage': '2000,200',
      ...(previous === null ? {} : { 'Previous-Turn': previous })
    }
    const connection = new ClientConnection(entry)
    const response = await connection.send({ method: 'POST', path: '/chat/1', headers, body }, deadlineMs + 500)
    connection.close()
    const what = previous === null ? 'first turn' : `turn after ${previous}`
    record.add(`client sent ${callId} (${what}, ${body.length} bytes) to ${entry}: ${response.status}${response.isWhole ? '' : ', not whole'}, ${wasRun(callId) ? 'reached a worker' : 'reached no worker'}${response.status === 200 ? '' : ` ${response.body.slice(0, 200)}`}`)
    return [callId, response]
  }
  let previous: string | null = null
  for (let i = 0; i < longTurns; i++) {
    const input = Buffer.alloc(maxBodyBytes, 97 + i)
    const [callId, { status, isWhole }] = await send(first!.callersAddress, programId, previous, input)
    if (status !== 200 || !isWhole) {
      record.add('a long turn was not served')
      return Exit.couldNotRun
    }
    previous = callId
  }
  if (hasTrouble) {
    record.add(`${first!.name} is killed and starts again`)
    await system.restart(first!, 'SIGKILL', false)
    await system.waitUntilReady()
    record.add('all entries are ready')
    await sleep(contactMs + 1000)
  }
  let reached = 0
  const firstTurns: Promise<boolean>[] = []
  const sendFirstTurn = async (): Promise<boolean> => {
    const entry = system.entries[firstTurns.length % system.entries.length]!
    const [callId] = await send(entry.callersAddress, createId(), null, Buffer.from('hello'))
    return wasRun(callId)
  }
  const timer = setInterval(() => firstTurns.push(sendFirstTurn()), firstTurnIntervalMs)
  for (let i = 0; i < tries && reached === 0; i++) {
    const entry = (i % 2 === 0 ? first! : second!).callersAddress
    const [callId] = await send(entry, programId, previous, Buffer.from('and what do the four pictures have in common?'))
    if (wasRun(callId)) reached++
    await sleep(tryDelayMs)
  }
  clearInterval(timer)
  const firstTurnsReached = (await Promise.all(firstTurns)).filter(wasReached => wasReached).length
  record.add(`the turn reached a worker in ${reached} tries; of ${firstTurns.length} first turns ${firstTurnsReached} did`)
  const isLost = reached === 0 && firstTurnsReached >= 0.9 * firstTurns.length
  for (const node of system.nodes) {
    for (const line of node.outputLines.filter(text => /member-lost|quorum-missed|too large/.test(text)).slice(0, 4)) record.add(`${node.name}: ${line.slice(0, 240)}`)
  }
  await system.stop()
  return reached > 0 ? Exit.held : isLost ? Exit.broken : Exit.couldNotRun
}

runScript('review/8', play)
