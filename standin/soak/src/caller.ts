import { sleep } from '#process/clock'
import type { Balancer } from './balancer.js'
import { Following, Leaving } from './connection.js'
import { charge, check, query, turn } from './kinds.js'
import type { ProgramRequest, RequestKind } from './kinds.js'
import { Lane } from './lane.js'
import type { Outcome, SendingOptions } from './lane.js'
import { isPromise } from './observations.js'
import type { Attempt, Observations } from './observations.js'
import type { Random } from './random.js'

const maxTurns = 6
const maxThinkMs = 60
const reconnectDelayMs = 50
const toolsAtOnce = 3
const subAgents = 2
const subAgentTurns = 2
/// As programs try a turn before they fail.
const maxSubAgentTries = 3
const maxBatch = 3
const maxLeaveMs = 400
/// Callers wait for so much of the time that they have left, at most.
const maxRetryWaitShare = 1 / 3
const minRetryDelayMs = 100
const maxRetryDelayMs = 400
const maxToolRetries = 2
/// Tries of a turn that fails; the program then begins anew.
const maxTurnTries = 7
const newConnectionShare = 0.7

/// Plays programs one after the other: turns, each with the tools and sub-agents that follow it, and other requests
/// in between. Keeps its connections until the entries close them.
export class Caller {
  private readonly main: Lane
  private readonly others: readonly Lane[]
  private previousTurnId: string | null = null
  private turns = 0
  private failedTries = 0
  private programId: string
  private count = 0

  constructor (
    private readonly name: string, balancer: Balancer, observations: Observations, private readonly random: Random,
    private readonly sendsBatches: boolean
  ) {
    this.main = new Lane(balancer, observations, random.fork())
    this.others = Array.from({ length: toolsAtOnce }, () => new Lane(balancer, observations, random.fork()))
    this.programId = `p${name}`
  }

  private readonly steps: readonly (() => Promise<void>)[] = [
    () => this.takeTurn(),
    () => this.takeTurn(),
    () => this.takeTurn(),
    () => this.takeTurn(),
    () => this.callTool(this.main, query),
    () => this.callTool(this.main, query),
    () => this.callTool(this.main, check),
    () => this.callTool(this.main, charge),
    () => this.sendBatch(Following.pipelined),
    () => this.sendBatch(Following.overlapping),
    () => this.callTools(),
    () => this.runSubAgents(),
    () => this.leaveMidway()
  ]

  async run (isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      await this.random.pick(this.steps)()
      await sleep(this.random.between(0, maxThinkMs))
    }
    for (const lane of [this.main, ...this.others]) lane.close()
  }

  private createRequest (
    kind: RequestKind, previousTurnId: string | null = null, lineId: string = this.name
  ): ProgramRequest {
    return { id: `${this.name}x${this.count++}`, kind, programId: this.programId, lineId, previousTurnId }
  }

  private createTurn (): ProgramRequest {
    if (this.previousTurnId === null) this.programId = `p${this.name}x${this.count}`
    return this.createRequest(turn, this.previousTurnId)
  }

  private async send (lane: Lane, requests: readonly ProgramRequest[], options?: SendingOptions): Promise<Outcome[]> {
    const outcomes = await lane.send(requests, options)
    if (outcomes.length === 0) await sleep(reconnectDelayMs)
    return outcomes
  }

  private async takeTurn (): Promise<void> {
    const [outcome] = await this.send(this.main, [this.createTurn()])
    if (outcome === undefined) return
    this.recordTurn(outcome.attempt)
    if (isWhole(outcome.attempt)) return
    if (this.random.next() < newConnectionShare) this.main.close()
    await this.waitForRetry(outcome)
  }

  private recordTurn (attempt: Attempt): void {
    if (isWhole(attempt)) {
      this.failedTries = 0
      this.previousTurnId = ++this.turns < maxTurns ? attempt.id : null
    } else if (attempt.status === 402 || attempt.status === 404 || ++this.failedTries >= maxTurnTries) {
      this.failedTries = 0
      this.previousTurnId = null
    }
    if (this.previousTurnId === null) this.turns = 0
  }

  private async waitForRetry ({ attempt, retryAfterS }: Outcome): Promise<void> {
    const { deadlineMs, startedAtMs, endedAtMs } = attempt
    const maxWaitMs = Math.max(0, deadlineMs - (endedAtMs - startedAtMs)) * maxRetryWaitShare
    const delayMs = retryAfterS === null ? this.random.between(minRetryDelayMs, maxRetryDelayMs) : retryAfterS * 1000
    await sleep(Math.min(delayMs, maxWaitMs))
  }

  /// Calls a tool, and again on a new connection as long as that can't make it run twice.
  private async callTool (lane: Lane, kind: RequestKind): Promise<void> {
    for (let tries = 0; tries <= maxToolRetries; tries++) {
      const [outcome] = await this.send(lane, [this.createRequest(kind)])
      if (outcome === undefined || isWhole(outcome.attempt)) return
      if (!kind.isRepeatable && !isPromise(outcome.attempt)) return
      lane.close()
      await this.waitForRetry(outcome)
    }
  }

  private async callTools (): Promise<void> {
    const tools = this.others.map((_, i) => i === 0 ? check : this.random.pick([check, charge]))
    await Promise.all(this.others.map((lane, i) => this.callTool(lane, tools[i]!)))
  }

  /// Sends several requests on one connection, one of them the next turn.
  private async sendBatch (following: Following): Promise<void> {
    const size = !this.sendsBatches ? 1 : 2 + Math.floor(this.random.next() * (maxBatch - 1))
    const place = Math.floor(this.random.next() * size)
    const requests = Array.from({ length: size }, (_, i) => {
      return i === place ? this.createTurn() : this.createRequest(this.random.pick([query, check, charge]))
    })
    const outcomes = await this.send(this.main, requests, { following })
    const outcome = outcomes.find(({ attempt }) => attempt.id === requests[place]!.id)
    if (outcome !== undefined) this.recordTurn(outcome.attempt)
  }

  /// Sub-agents go on from the last turn, side by side.
  private async runSubAgents (): Promise<void> {
    const parentId = this.previousTurnId
    if (parentId === null) return
    const lanes = this.others.slice(0, subAgents)
    await Promise.all(lanes.map((lane, i) => this.runSubAgent(lane, parentId, `${this.name}a${i}`)))
  }

  private async runSubAgent (lane: Lane, parentId: string, lineId: string): Promise<void> {
    let previousTurnId = parentId
    for (let i = 0; i < subAgentTurns; i++) {
      const id = await this.takeSubAgentTurn(lane, previousTurnId, lineId)
      if (id === null) return
      previousTurnId = id
    }
  }

  /// Returns the id of the turn, null if it has failed.
  private async takeSubAgentTurn (lane: Lane, previousTurnId: string, lineId: string): Promise<string | null> {
    for (let tries = 0; tries < maxSubAgentTries; tries++) {
      const [outcome] = await this.send(lane, [this.createRequest(turn, previousTurnId, lineId)])
      if (outcome === undefined) continue
      if (isWhole(outcome.attempt)) return outcome.attempt.id
      lane.close()
      await this.waitForRetry(outcome)
    }
    return null
  }

  private async leaveMidway (): Promise<void> {
    const way = this.random.pick(Object.values(Leaving))
    const leaving = { way, afterMs: this.random.between(0, maxLeaveMs) }
    const request = this.createRequest(this.random.pick([query, check, charge]))
    await this.send(this.random.pick([this.main, ...this.others]), [request], { leaving })
  }
}

function isWhole ({ status, isComplete }: Attempt): boolean {
  return status === 200 && isComplete
}
