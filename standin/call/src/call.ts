import type { Call } from '#request/call'

const callerTimeoutMs = 4000

/// Builds a call that was received now. Optional fields are empty unless `fields` sets them.
export function createCall (id: string, fields: Partial<Call> = {}): Call {
  return {
    id,
    method: 'POST',
    path: '/',
    host: 'h',
    forwardedHeaders: [],
    callerTimeoutMs,
    receivedAtMs: performance.now(),
    program: null,
    previousTurnId: null,
    usage: null,
    prefix: [],
    affinityKey: null,
    bearerKey: null,
    lastEventId: -1,
    ...fields
  }
}
