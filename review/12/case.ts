import { sleep } from '#process/clock'
import { CaseRecord, call, createSystem, exitCodes, hasTrouble, runCase } from '../common-3.js'
import type { CallerAnswer } from '../common-3.js'

/// How long the user stays away: within the retention of 60 s, or beyond it.
const awayMs = hasTrouble ? 86_000 : 50_000
const tries = 6
const tryPauseMs = 1000
const timeoutMs = 4000
/// The time that the program has, with the pause.
const programMs = 150_000

const record = new CaseRecord('review/12/record.txt')

runCase(async () => {
  const memoryMb = { entry: 200, storage: 230 }
  const system = createSystem({ entries: 2, storages: 3, engines: 2, services: 0, memoryMb })
  await system.start()
  for (const engine of system.engines) {
    engine.onRun = ({ callId, body }) => {
      record.add('run', { id: callId, engine: engine.options.id, promptBytes: body.length })
    }
  }
  const [first, second] = system.entries
  const send = async (id: string, previous: string | null, address: string): Promise<CallerAnswer> => {
    record.add('sent', { id, previous })
    const answer = await call({
      address,
      path: '/chat/turn',
      headers: {
        'attempt-id': id,
        'program-id': 'p',
        'session-id': 's',
        'program-deadline-ms': String(Math.round(programMs - performance.now())),
        'token-budget': '100000',
        'token-usage': '840,120',
        ...previous === null ? {} : { 'previous-turn': previous }
      },
      body: `input of ${id}`,
      timeoutMs
    })
    const { status, isComplete, body } = answer
    record.add('answered', { id, status, isComplete, text: status === 200 ? undefined : body.toString() })
    return answer
  }
  const isServed = ({ status, isComplete }: CallerAnswer): boolean => status === 200 && isComplete
  const isReady = isServed(await send('t1', null, first!.callersAddress)) &&
    isServed(await send('t2', 't1', first!.callersAddress))
  if (!isReady) throw new Error('the conversation did not begin')
  await sleep(awayMs)
  const third = await send('t3', 't2', first!.callersAddress)
  if (third.status === 404) {
    record.add('result', { text: 'the conversation has ended in order' })
    await system.stop()
    return exitCodes.held
  }
  if (!isServed(third)) throw new Error('the turn after the pause was not served')
  let reached = 0
  for (let i = 0; i < tries && reached === 0; i++) {
    const answer = await send(`t4-${i}`, 't3', second!.callersAddress)
    if (isServed(answer)) reached++
    else await sleep(tryPauseMs)
  }
  const firstTurn = await send('other', null, second!.callersAddress)
  record.add('result', { reached, firstTurn: firstTurn.status })
  await system.stop()
  if (!isServed(firstTurn)) return exitCodes.notRun
  return reached === 0 ? exitCodes.broken : exitCodes.held
})
