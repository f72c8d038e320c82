import { randomBytes } from 'node:crypto'
import { request } from 'undici'

/// What a demo caller saw of one call.
export interface CallResult {
  readonly callId: string
  readonly what: string
  readonly startMs: number
  readonly endMs: number
  readonly status: number
  /// On the monotonic clock of this process.
  readonly endedAtMs: number
}

/// One program: turns in order, tool calls between them, a sub-agent.
export interface ProgramResult {
  readonly programId: string
  readonly calls: readonly CallResult[]
}

const host = 'demo.example'
const programRemainingMs = 20_000
const turnPatienceMs = 4000
const toolPatienceMs = 1500
const maxOutputTokens = 200

/// Runs one program through an entry: a kept conversation of some turns, each
/// followed by tool calls, with a sub-agent after the second.
export async function runProgram (entryAddress: string, turns: number, tokenBudget: number): Promise<ProgramResult> {
  const programId = randomBytes(6).toString('hex')
  const calls: CallResult[] = []
  const startedAtMs = performance.now()
  const call = async (
    what: string, method: string, path: string, headers: Record<string, string>, body?: string
  ): Promise<CallResult> => {
    const callId = randomBytes(8).toString('hex')
    const startMs = performance.now() - startedAtMs
    const named = { host, 'attempt-id': callId, 'program-id': programId, 'program-deadline-ms': String(programRemainingMs) }
    const status = await send(entryAddress, method, path, { ...headers, ...named }, body)
    const seen = { callId, what, startMs, endMs: performance.now() - startedAtMs, status, endedAtMs: performance.now() }
    calls.push(seen)
    return seen
  }
  const turn = (session: string, previous: string | null, number: number): Promise<CallResult> => {
    const headers = {
      'session-id': session,
      'deadline-ms': String(turnPatienceMs),
      'token-budget': String(tokenBudget),
      'token-usage': `400,${maxOutputTokens}`,
      ...(previous === null ? {} : { 'previous-turn': previous })
    }
    return call(`turn ${number} of ${session}`, 'POST', `/chat/${number}`, headers, `input ${number} of ${session}; `)
  }
  const tool = (name: string, method: string): Promise<CallResult> => {
    const headers = { 'deadline-ms': String(toolPatienceMs) }
    return call(`tool ${name}`, method, `/${name}/x`, headers, method === 'GET' ? undefined : 'order')
  }

  let previous: string | null = null
  for (let number = 1; number <= turns; number++) {
    const seen = await turn('main', previous, number)
    if (seen.status !== 200) break
    previous = seen.callId
    const pending: Promise<unknown>[] = [tool('check', 'GET'), tool('charge', 'POST')]
    if (number === 2) pending.push(turn('helper', previous, 1))
    await Promise.all(pending)
  }
  return { programId, calls }
}

/// Continues a kept turn with one of a new program; returns the answer's status.
export async function continueTurn (entryAddress: string, previousTurnId: string): Promise<number> {
  const id = randomBytes(8).toString('hex')
  const headers = { host, 'attempt-id': id, 'program-id': id, 'previous-turn': previousTurnId, 'deadline-ms': String(turnPatienceMs) }
  return await send(entryAddress, 'POST', '/chat/next', headers, 'next')
}

/// The status of a whole answer, 0 where it broke off or nobody listened.
async function send (
  entryAddress: string, method: string, path: string, headers: Record<string, string>, body?: string
): Promise<number> {
  try {
    const response = await request(`http://${entryAddress}${path}`, { method: method as 'GET' | 'POST', headers, body: body ?? null })
    await response.body.arrayBuffer()
    return response.statusCode
  } catch {
    return 0
  }
}
