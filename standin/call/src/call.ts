import type { Call } from '#request/call'

const patienceMs = 4000

/// A call that just came, with nothing that only some calls have.
export function createCall (id: string, fields: Partial<Call> = {}): Call {
  return {
    id,
    method: 'POST',
    path: '/',
    host: 'h',
    forwardedHeaders: [],
    callerTimeoutMs: patienceMs,
    receivedAtMs: performance.now(),
    program: null,
    previousTurnId: null,
    usage: null,
    prefix: [],
    lastEventId: -1,
    ...fields
  }
}
