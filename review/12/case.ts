import { sleep } from '#process/clock'
import { CaseRecord, call, createSystem, exitCodes, hasTrouble, runCase } from '../common-3.js'
import type { CallerAnswer } from '../common-3.js'

/// How long the user stays away: within the retention of 60 s, or beyond it.
const awayMs = hasTrouble ? 86_000 : 50_000
/// A turn that has failed is sent again, at most twice; each time it is tried once more, at another node (PROTOCOL.md).
const sends = 3
const triesPerSend = 2
const tryPauseMs = 250
const timeoutMs = 4000
const minFirstTurnsReached = 0.9
/// 1.6 times what the program takes, nearly all of which is the pause.
const programMs = awayMs * 1.6
/// Machines as in the site: five entries in three zones. The line begins in the first zone and goes on in the second.
const entries = 5
const firstEntry = 0
const otherEntries = [1, 4]

const record = new CaseRecord('review/12/record.txt')

runCase(async () => {
  const memoryMb = { entry: 200, storage: 230 }
  const system = createSystem({ entries, storages: 3, engines: 2, services: 0, memoryMb })
  await system.start()
  /// Tries, and first turns beside them, that an instance got.
  let reached = 0
  let firstTurnsReached = 0
  for (const engine of system.engines) {
    engine.onRun = ({ callId, body }) => {
      if (callId.startsWith('t4-')) reached++
      if (callId.startsWith('other-')) firstTurnsReached++
      record.add('run', { id: callId, engine: engine.options.id, promptBytes: body.length })
    }
  }
  const first = system.entries[firstEntry]!
  const others = otherEntries.map(index => system.entries[index]!)
  const startedAtMs = performance.now()
  const send = async (id: string, previous: string | null, address: string): Promise<CallerAnswer> => {
    record.add('sent', { id, previous, address })
    const isOther = id.startsWith('other-')
    const program = isOther ? id : 'p'
    const endsAtMs = isOther ? performance.now() + timeoutMs : startedAtMs + programMs
    const answer = await call({
      address,
      path: '/chat/turn',
      headers: {
        'attempt-id': id,
        'program-id': program,
        'session-id': program,
        'program-deadline-ms': String(Math.round(endsAtMs - performance.now())),
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
  const isReady = isServed(await send('t1', null, first.callersAddress)) &&
    isServed(await send('t2', 't1', first.callersAddress))
  if (!isReady) throw new Error('the conversation did not begin')
  await sleep(awayMs)
  const third = await send('t3', 't2', first.callersAddress)
  if (third.status === 404) {
    record.add('result', { text: 'the conversation has ended in order' })
    await system.stop()
    return exitCodes.held
  }
  if (!isServed(third)) throw new Error('the turn after the pause was not served')
  const tries = sends * triesPerSend
  let firstTurns = 0
  for (let i = 0; i < tries; i++) {
    const answer = await send(`t4-${i}`, 't3', others[i % others.length]!.callersAddress)
    for (const { callersAddress } of others) await send(`other-${firstTurns++}`, null, callersAddress)
    const retryAfterMs = Number(answer.headers['retry-after'] ?? 0) * 1000
    await sleep(Math.max(tryPauseMs, retryAfterMs))
  }
  const isBeforeAim = performance.now() < startedAtMs + programMs
  record.add('result', { reached, tries, firstTurns, firstTurnsReached, isBeforeAim })
  await system.stop()
  if (!isBeforeAim || firstTurnsReached < firstTurns * minFirstTurnsReached) return exitCodes.notRun
  return reached === 0 ? exitCodes.broken : exitCodes.held
})
