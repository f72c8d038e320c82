import { sleep } from '#process/clock'
import type { Balancer } from './balancer.js'
import { CallerConnection } from './connection.js'
import type { RawRequest } from './connection.js'
import type { Attempt, Observations } from './observations.js'
import type { Random } from './random.js'
import type { SystemNode } from '#standin/system'

/// A kind of request, as a caller sends it.
interface RequestKind {
  readonly path: string
  readonly method: 'GET' | 'POST'
  readonly deadlineMs: number
  readonly maxBodyBytes: number
  readonly weight: number
}

const turn: RequestKind = { path: '/chat/', method: 'POST', deadlineMs: 4000, maxBodyBytes: 17_000, weight: 4 }
const kinds: readonly RequestKind[] = [
  turn,
  { path: '/query/', method: 'POST', deadlineMs: 4000, maxBodyBytes: 17_000, weight: 4 },
  { path: '/check/', method: 'GET', deadlineMs: 1200, maxBodyBytes: 0, weight: 3 },
  { path: '/charge/', method: 'POST', deadlineMs: 1500, maxBodyBytes: 1200, weight: 3 }
]
const weightedKinds = kinds.flatMap(kind => Array.from({ length: kind.weight }, () => kind))
const maxTurns = 6
const pausedUploadShare = 0.25
const maxUploadPauseMs = 300
const maxThinkMs = 60
const reconnectDelayMs = 50
const leaveMarginMs = 700

/// Sends one request after the other, on a connection that it keeps until the entry closes it.
export class Caller {
  private connection: CallerConnection | null = null
  private entry: SystemNode | null = null
  private previousTurnId: string | null = null
  private turns = 0
  private programId = ''

  constructor (
    private readonly name: string,
    private readonly balancer: Balancer,
    private readonly observations: Observations,
    private readonly random: Random
  ) {}

  async run (isOver: () => boolean): Promise<void> {
    for (let number = 0; !isOver(); number++) {
      if (this.connection?.isOpen !== true) await this.connect()
      if (this.connection === null) await sleep(reconnectDelayMs)
      else await this.call(`${this.name}x${number}`, this.connection, this.random.pick(weightedKinds))
      await sleep(this.random.between(0, maxThinkMs))
    }
    this.connection?.close()
  }

  private async connect (): Promise<void> {
    this.entry = this.balancer.choose(this.random)
    this.connection = await CallerConnection.open(this.entry.callersAddress)
  }

  private async call (id: string, connection: CallerConnection, kind: RequestKind): Promise<void> {
    const previousTurnId = kind === turn ? this.previousTurnId : null
    const isKept = connection.requests > 0
    const startedAtMs = performance.now()
    const request = this.createRequest(id, kind, previousTurnId)
    const response = await connection.exchange(request, kind.deadlineMs + leaveMarginMs)
    const { path, method, deadlineMs } = kind
    const { status, body, isComplete, sentAtMs, endedAtMs } = response
    const attempt = {
      id,
      path,
      method,
      entry: this.entry!,
      isKept,
      deadlineMs,
      previousTurnId,
      startedAtMs,
      sentAtMs,
      endedAtMs,
      status,
      body,
      isComplete,
      isLeft: !isComplete && endedAtMs - startedAtMs >= deadlineMs
    }
    this.observations.attempts.push(attempt)
    if (kind === turn) this.recordTurn(attempt)
    if (!response.isLast) return
    connection.close()
    this.connection = null
  }

  private recordTurn ({ id, status, isComplete }: Attempt): void {
    const isWhole = status === 200 && isComplete
    if (isWhole && ++this.turns < maxTurns) {
      this.previousTurnId = id
      return
    }
    // A turn that failed is sent again: the next one names the same previous turn.
    if (!isWhole && status !== 402 && status !== 404) return
    this.previousTurnId = null
    this.turns = 0
  }

  private createRequest (id: string, kind: RequestKind, previousTurnId: string | null): RawRequest {
    const { path, method, deadlineMs, maxBodyBytes } = kind
    if (previousTurnId === null) this.programId = `p${id}`
    const body = `${id} `.padEnd(Math.floor(this.random.between(0, maxBodyBytes)), '.')
    const isPaused = method === 'POST' && this.random.next() < pausedUploadShare
    const isChunked = method === 'POST' && this.random.next() < pausedUploadShare
    const fields = [
      `${method} ${path}1 HTTP/1.1`, 'host: demo.example', `attempt-id: ${id}`, `deadline-ms: ${deadlineMs}`,
      `program-id: ${this.programId}`, `session-id: ${this.programId}`, 'program-deadline-ms: 20000',
      ...path === turn.path ? ['token-budget: 100000', 'token-usage: 400,200'] : [],
      ...previousTurnId === null ? [] : [`previous-turn: ${previousTurnId}`],
      ...method === 'GET' ? [] : [isChunked ? 'transfer-encoding: chunked' : `content-length: ${body.length}`]
    ]
    const head = `${fields.join('\r\n')}\r\n\r\n`
    if (method === 'GET') return { head, pieces: [] }
    const pauseMs = isPaused ? this.random.between(0, maxUploadPauseMs) : 0
    const half = Math.max(1, Math.floor(body.length / 2))
    const parts = [body.slice(0, half), body.slice(half)].filter(part => part !== '')
    const pieces = parts.map((part, i) => {
      const bytes = isChunked ? `${part.length.toString(16)}\r\n${part}\r\n` : part
      return { pauseMs: i === 0 ? 0 : pauseMs, bytes: isChunked && i === parts.length - 1 ? `${bytes}0\r\n\r\n` : bytes }
    })
    return { head, pieces }
  }
}
