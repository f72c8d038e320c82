import type { SystemNode } from '#standin/system'
import type { Balancer } from './balancer.js'
import { CallerConnection, Following } from './connection.js'
import type { ExchangeOptions, RawResponse } from './connection.js'
import { formatRequest } from './kinds.js'
import type { ProgramRequest } from './kinds.js'
import type { Attempt, Observations } from './observations.js'
import type { Random } from './random.js'

const leaveMarginMs = 700

export type SendingOptions = Partial<Omit<ExchangeOptions, 'timeoutMs'>>

/// An attempt and what its response says about the next one.
export interface Outcome {
  readonly attempt: Attempt
  readonly retryAfterS: number | null
}

/// A caller's way to the entries: a connection that it keeps until an entry closes it.
export class Lane {
  private connection: CallerConnection | null = null
  private entry: SystemNode | null = null

  constructor (
    private readonly balancer: Balancer,
    private readonly observations: Observations,
    private readonly random: Random
  ) {}

  /// Sends requests on one connection and records what came of them. Without a connection the result is empty.
  async send (requests: readonly ProgramRequest[], options: SendingOptions = {}): Promise<Outcome[]> {
    if (this.connection?.isOpen !== true) await this.connect()
    const { connection, entry } = this
    if (connection === null || entry === null) return []
    const isKept = connection.requests > 0
    const written = requests.map((request, i) => formatRequest(this.random, request, i < requests.length - 1))
    const timeoutMs = Math.max(...requests.map(({ kind }) => kind.deadlineMs)) + leaveMarginMs
    const { following = Following.pipelined, leaving = null } = options
    const responses = await connection.exchange(written.map(({ pieces }) => pieces), { timeoutMs, following, leaving })
    if (!connection.isOpen) this.close()
    return responses.flatMap((response, i) => {
      if (response === null) return []
      const place = requests.length === 1 ? '' : `, ${i + 1} of ${requests.length} ${following}`
      return [this.record(requests[i]!, response, entry, isKept || i > 0, `${written[i]!.way}${place}`)]
    })
  }

  /// The next request goes on a new connection.
  close (): void {
    this.connection?.close()
    this.connection = null
  }

  private async connect (): Promise<void> {
    this.close()
    this.entry = this.balancer.choose(this.random)
    this.connection = await CallerConnection.open(this.entry.callersAddress)
  }

  private record (
    request: ProgramRequest, response: RawResponse, entry: SystemNode, isKept: boolean, way: string
  ): Outcome {
    const { id, kind, previousTurnId, lineId } = request
    const { path, method, deadlineMs } = kind
    const { status, body, isComplete, startedAtMs, sentAtMs, endedAtMs, isBehindLast, closeSaidAtMs } = response
    const isLeft = response.isLeft || (!isComplete && endedAtMs - startedAtMs >= deadlineMs)
    const attempt = {
      id,
      path,
      method,
      entry,
      isKept,
      deadlineMs,
      previousTurnId,
      lineId,
      startedAtMs,
      sentAtMs,
      endedAtMs,
      status,
      body,
      isComplete,
      isLeft,
      isBehindLast,
      closeSaidAtMs,
      way
    }
    this.observations.addAttempt(attempt)
    return { attempt, retryAfterS: response.retryAfterS }
  }
}
