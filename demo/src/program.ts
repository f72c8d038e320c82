import { randomBytes } from 'node:crypto'
import { request } from 'undici'

/// The result of one call, as the demo's client sees it.
export interface CallResult {
  readonly callId: string
  readonly label: string
  /// `startMs` and `endMs` count from the start of the program.
  readonly startMs: number
  readonly endMs: number
  /// 0 if there was no complete response.
  readonly status: number
  /// The end of the call on this process's monotonic clock.
  readonly endedAtMs: number
}

/// The results of one program's calls, in order of their end.
export interface ProgramResult {
  readonly programId: string
  readonly calls: readonly CallResult[]
}

export interface ProgramOptions {
  /// Size of the input of the program's first turn.
  readonly firstInputBytes?: number
  /// Receives each call when it has ended.
  readonly onCall?: (call: CallResult) => void
}

const host = 'demo.example'
const programRemainingMs = 20_000
const turnTimeoutMs = 4000
const toolTimeoutMs = 1500
const maxOutputTokens = 200

/// Runs one program through an entry: a stored conversation whose turns are each followed by tool calls,
/// with a sub-agent after the second turn. Stops after a turn that fails.
export async function runProgram (
  entryAddress: string, turns: number, tokenBudget: number, { firstInputBytes = 0, onCall }: ProgramOptions = {}
): Promise<ProgramResult> {
  const programId = randomBytes(6).toString('hex')
  const calls: CallResult[] = []
  const startedAtMs = performance.now()
  const call = async (
    label: string, method: string, path: string, headers: Record<string, string>, body?: string
  ): Promise<CallResult> => {
    const callId = randomBytes(8).toString('hex')
    const startMs = performance.now() - startedAtMs
    const callHeaders = {
      host,
      'attempt-id': callId,
      'program-id': programId,
      'program-deadline-ms': String(programRemainingMs)
    }
    const status = await send(entryAddress, method, path, { ...headers, ...callHeaders }, body)
    const result = {
      callId,
      label,
      startMs,
      endMs: performance.now() - startedAtMs,
      status,
      endedAtMs: performance.now()
    }
    calls.push(result)
    onCall?.(result)
    return result
  }
  const turn = (session: string, previous: string | null, turnNumber: number): Promise<CallResult> => {
    const headers = {
      'session-id': session,
      'deadline-ms': String(turnTimeoutMs),
      'token-budget': String(tokenBudget),
      'token-usage': `400,${maxOutputTokens}`,
      ...(previous === null ? {} : { 'previous-turn': previous })
    }
    const input = `input ${turnNumber} of ${session}; `.padEnd(previous === null ? firstInputBytes : 0, '.')
    return call(`turn ${turnNumber} of ${session}`, 'POST', `/chat/${turnNumber}`, headers, input)
  }
  const tool = (name: string, method: string): Promise<CallResult> => {
    const headers = { 'deadline-ms': String(toolTimeoutMs) }
    return call(`tool ${name}`, method, `/${name}/x`, headers, method === 'GET' ? undefined : 'order')
  }

  let previous: string | null = null
  for (let turnNumber = 1; turnNumber <= turns; turnNumber++) {
    const result = await turn('main', previous, turnNumber)
    if (result.status !== 200) break
    previous = result.callId
    const pending: Promise<unknown>[] = [tool('check', 'GET'), tool('charge', 'POST')]
    if (turnNumber === 2) pending.push(turn('helper', previous, 1))
    await Promise.all(pending)
  }
  return { programId, calls }
}

/// Continues a stored turn with a turn of a new program. Returns the status of the response, 0 as in `CallResult`.
export async function continueTurn (entryAddress: string, previousTurnId: string): Promise<number> {
  const id = randomBytes(8).toString('hex')
  const headers = { host, 'attempt-id': id, 'program-id': id, 'previous-turn': previousTurnId, 'deadline-ms': String(turnTimeoutMs) }
  return await send(entryAddress, 'POST', '/chat/next', headers, 'next')
}

/// Returns the status of a complete response, or 0 if the connection failed or the response was cut off.
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
