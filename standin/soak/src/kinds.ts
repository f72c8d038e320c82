import type { ServiceName } from '#standin/system'
import { chooseWay, writeRequest } from './sending.js'
import type { PlainRequest, RequestPiece, SendingWay } from './sending.js'
import type { Random } from './random.js'

/// A kind of request, as a caller sends it.
export interface RequestKind {
  readonly path: string
  readonly method: 'GET' | 'POST'
  readonly service: ServiceName
  readonly deadlineMs: number
  readonly maxBodyBytes: number
  /// At how many instances an attempt may be run.
  readonly maxInstances: number
  /// Whether it may be sent again after any failure.
  readonly isRepeatable: boolean
}

/// A turn whose input the system keeps.
export const turn: RequestKind = {
  path: '/chat/', method: 'POST', service: 'models', deadlineMs: 4000, maxBodyBytes: 17_000, maxInstances: 2, isRepeatable: false
}
export const query: RequestKind = {
  path: '/query/', method: 'POST', service: 'models', deadlineMs: 4000, maxBodyBytes: 17_000, maxInstances: 2, isRepeatable: true
}
export const check: RequestKind = {
  path: '/check/', method: 'GET', service: 'tools', deadlineMs: 1200, maxBodyBytes: 0, maxInstances: 2, isRepeatable: true
}
export const charge: RequestKind = {
  path: '/charge/', method: 'POST', service: 'tools', deadlineMs: 1500, maxBodyBytes: 1200, maxInstances: 1, isRepeatable: false
}
export const kinds: readonly RequestKind[] = [turn, query, check, charge]

/// A request of a program.
export interface ProgramRequest {
  readonly id: string
  readonly kind: RequestKind
  readonly programId: string
  /// Whose turns it belongs to: those of a caller, or of one of its sub-agents.
  readonly lineId: string
  readonly previousTurnId: string | null
}

/// Of the requests with a body, so many have the largest one, as the turns of most sites do.
const largestBodyShare = 0.6

/// Writes a request in a way that the seed chooses.
export function formatRequest (
  random: Random, request: ProgramRequest, isFollowed: boolean
): { way: SendingWay, pieces: readonly RequestPiece[] } {
  const plain = createPlainRequest(random, request)
  const way = chooseWay(random, plain, isFollowed)
  return { way, pieces: writeRequest(random, plain, way) }
}

function createPlainRequest (random: Random, { id, kind, programId, previousTurnId }: ProgramRequest): PlainRequest {
  const { path, method, deadlineMs, maxBodyBytes } = kind
  const bodyBytes = random.next() < largestBodyShare ? maxBodyBytes : Math.floor(random.between(0, maxBodyBytes))
  const fields = [
    'host: demo.example', `attempt-id: ${id}`, `deadline-ms: ${deadlineMs}`, `program-id: ${programId}`,
    `session-id: ${programId}`, 'program-deadline-ms: 20000',
    ...kind === turn ? ['token-budget: 100000', 'token-usage: 400,200'] : [],
    ...previousTurnId === null ? [] : [`previous-turn: ${previousTurnId}`]
  ]
  return { method, path: `${path}1`, fields, body: method === 'GET' ? '' : `${id} `.padEnd(bodyBytes, '.') }
}
