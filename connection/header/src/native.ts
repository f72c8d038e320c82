import { HeaderCodec } from './codec.js'

/// The system's own header names, listed in docs/API.md.
export const nativeHeaders = new HeaderCodec({
  callId: 'chicorynotch-call-id',
  callerTimeoutMs: 'chicorynotch-patience-ms',
  usage: 'chicorynotch-usage',
  prefix: 'chicorynotch-prefix',
  programId: 'chicorynotch-program-id',
  sessionId: 'chicorynotch-session-id',
  programRemainingMs: 'chicorynotch-program-remaining-ms',
  tokenBudget: 'chicorynotch-token-budget',
  previousTurnId: 'chicorynotch-follows-turn-id',
  lastEventId: 'last-event-id',
  signature: 'chicorynotch-signature',
  notRun: 'chicorynotch-not-run',
  load: 'chicorynotch-load',
  requestLimit: 'chicorynotch-request-limit',
  leaving: 'chicorynotch-leaving',
  expectedInstance: 'chicorynotch-expected-instance',
  workspace: 'chicorynotch-workspace',
  affinityCookie: 'chicorynotch-object',
  reserved: []
})
