import { randomBytes } from 'node:crypto'
import { createWriteStream, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { request } from 'undici'
import { sleep } from '#process/clock'
import { StandinSystem } from '#standin/system'
import type { SystemNode, SystemOptions } from '#standin/system'

/// Exit statuses of a case's script.
export const Outcome = { held: 0, broken: 1, notRun: 2 } as const

export type Outcome = typeof Outcome[keyof typeof Outcome]

/// False with TROUBLE=0: the script then leaves out the disruption.
export const hasTrouble = process.env.TROUBLE !== '0'

/// Bounds of the site vanua-learnbook.
export const recoveryMs = 12_000
export const retentionMs = 60_000

const maxRunMs = 115_000
const turnTimeoutMs = 4000
const host = 'demo.example'

/// A request as its client sees it.
export interface TurnResult {
  readonly id: string
  readonly entry: SystemNode
  /// 0 without a complete answer.
  readonly status: number
  readonly events: number
  readonly endedAtMs: number
}

export interface TurnOptions {
  readonly path?: string
  readonly previousTurnId?: string | null
  readonly programId?: string
  readonly tokenBudget?: number
  readonly maxTokens?: number
  readonly input?: string
}

/// One run of a case: its record and the systems that it has started.
export class Run {
  private readonly startedAtMs = performance.now()
  private readonly record
  private readonly systems: StandinSystem[] = []

  constructor (folder: string) {
    const file = join(folder, 'record.txt')
    writeFileSync(file, '')
    this.record = createWriteStream(file, { flags: 'a' })
  }

  write (text: string): void {
    const seconds = ((performance.now() - this.startedAtMs) / 1000).toFixed(3)
    this.record.write(`${seconds.padStart(8)} s  ${text}\n`)
  }

  /// Writes the line to the standard output too.
  say (text: string): void {
    this.write(text)
    process.stdout.write(`${text}\n`)
  }

  /// Starts the programs of the deploy file, and stand-ins for the platform, on loopback addresses.
  async startSystem (options: Omit<SystemOptions, 'command'>): Promise<StandinSystem> {
    const system = new StandinSystem({ command: [process.execPath, 'target/chicorynotchd.cjs'], ...options })
    this.systems.push(system)
    await system.start()
    for (const worker of [...system.engines, ...system.services]) {
      worker.onRun = ({ callId, path, body }) => this.write(`${worker.options.id} runs ${callId} ${path}, ${body.length} bytes`)
    }
    this.write(`started ${system.nodes.map(({ name, zone }) => `${name} (${zone})`).join(', ')}`)
    return system
  }

  async sendTurn (entry: SystemNode, options: TurnOptions = {}): Promise<TurnResult> {
    const { path = '/chat/1', previousTurnId = null, programId, tokenBudget, maxTokens = 120, input = 'input' } = options
    const id = randomBytes(8).toString('hex')
    const headers = {
      host,
      'attempt-id': id,
      'deadline-ms': String(turnTimeoutMs),
      'program-id': programId ?? id,
      'session-id': programId ?? id,
      'program-deadline-ms': '20000',
      'token-usage': `400,${maxTokens}`,
      ...(tokenBudget === undefined ? {} : { 'token-budget': String(tokenBudget) }),
      ...(previousTurnId === null ? {} : { 'previous-turn': previousTurnId })
    }
    const after = previousTurnId === null ? '' : ` after ${previousTurnId}`
    this.write(`the client sends ${id} ${path}${after} to ${entry.name}`)
    let status = 0
    let events = 0
    try {
      const response = await request(`http://${entry.callersAddress}${path}`, {
        method: 'POST', headers, body: input, headersTimeout: turnTimeoutMs + 500, bodyTimeout: turnTimeoutMs + 500
      })
      let text = ''
      try {
        for await (const chunk of response.body) text += (chunk as Buffer).toString('utf8')
        status = response.statusCode
      } finally {
        if (response.statusCode === 200) events = text.split('\n\n').length - 1
      }
    } catch {
      // The answer is not complete.
    }
    this.write(`${entry.name} answers ${id}: ${status === 0 ? 'not complete' : status}, ${events} events`)
    return { id, entry, status, events, endedAtMs: performance.now() }
  }

  /// Sends first turns to all entries in turn, one each `intervalMs`, until `isOver`. Resolves to their results.
  async sendFirstTurns (
    system: StandinSystem, intervalMs: number, isOver: () => boolean, options: TurnOptions = {}
  ): Promise<TurnResult[]> {
    const results: Promise<TurnResult>[] = []
    for (let i = 0; !isOver(); i++) {
      results.push(this.sendTurn(system.entries[i % system.entries.length]!, options))
      await sleep(intervalMs)
    }
    return await Promise.all(results)
  }

  async stop (): Promise<void> {
    await Promise.all(this.systems.map(system => system.stop().catch(() => {})))
    await new Promise<void>(resolve => this.record.end(resolve))
  }
}

/// Ends a process at once, as a loss of its machine does.
export async function kill (node: SystemNode): Promise<void> {
  const { process: child } = node
  if (child.exitCode !== null || child.signalCode !== null) return
  const ended = new Promise<void>(resolve => child.once('exit', () => resolve()))
  child.kill('SIGKILL')
  await ended
}

/// Starts a process on a machine that has come back, with an empty disk if `losesDisk`.
export async function comeBack (system: StandinSystem, node: SystemNode, losesDisk: boolean): Promise<void> {
  await system.restart(node, 'SIGKILL', losesDisk)
}

/// Adds an empty storage machine at another address.
export async function addStorage (system: StandinSystem): Promise<void> {
  await system['addNode']('storage', system.storages.length)
}

/// The operator asks that a storage machine be emptied.
export function retire (system: StandinSystem, node: SystemNode): void {
  system.store.put('retirements', node.name, { finish_by_s: 8 })
}

export function isRetired (system: StandinSystem, node: SystemNode): boolean {
  const status = system.store.get('retirements', node.name)?.status as { state?: string } | null | undefined
  return status?.state === 'completed'
}

export async function waitUntil (isReached: () => boolean, timeoutMs: number): Promise<boolean> {
  const deadlineMs = performance.now() + timeoutMs
  while (!isReached()) {
    if (performance.now() > deadlineMs) return false
    await sleep(10)
  }
  return true
}

/// Runs a case, ends all that it has started, and exits with its outcome.
export function runCase (folder: string, play: (run: Run) => Promise<Outcome>): void {
  const run = new Run(folder)
  const finish = async (outcome: Outcome): Promise<void> => {
    run.say(`outcome ${outcome}`)
    await run.stop()
    process.exit(outcome)
  }
  setTimeout(() => { finish(Outcome.notRun) }, maxRunMs)
  process.once('uncaughtException', error => {
    run.say(`the case could not run: ${error.stack}`)
    finish(Outcome.notRun)
  })
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => { finish(Outcome.notRun) })
  play(run).catch((error: unknown) => {
    run.say(`the case could not run: ${error instanceof Error ? error.stack : String(error)}`)
    return Outcome.notRun
  }).then(finish)
}
