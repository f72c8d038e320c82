import { appendFileSync, readFileSync, rmSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { sleep } from '#process/clock'
import { StandinSystem } from '#standin/system'
import type { SystemNode, SystemOptions } from '#standin/system'

/// The exit codes of a script.
export const exitCodes = { held: 0, broken: 1, notRun: 2 } as const

/// Whether the script runs with the disruption.
export const hasTrouble = process.env.TROUBLE !== '0'

/// What was sent, answered and run: one JSON object a line, with the milliseconds since the start.
export class CaseRecord {
  private readonly path: string

  /// `RECORD` in the environment names another file than `path`, so that a case can run several times at once.
  constructor (path: string) {
    this.path = process.env.RECORD ?? path
    rmSync(this.path, { force: true })
  }

  add (what: string, fields: object = {}): void {
    appendFileSync(this.path, `${JSON.stringify({ ms: Math.round(performance.now()), what, ...fields })}\n`)
  }
}

/// A system that runs the bundle of the deploy file.
export function createSystem (options: Omit<SystemOptions, 'command'>): StandinSystem {
  return new StandinSystem({ ...options, command: ['node', 'target/chicorynotchd.cjs'] })
}

export interface CallerRequest {
  readonly address: string
  readonly path: string
  readonly method?: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: Buffer | string
  readonly timeoutMs: number
}

export interface CallerAnswer {
  /// 0 without the head of a response.
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Buffer
  /// Whether the response has arrived whole.
  readonly isComplete: boolean
  readonly error: string | null
}

/// Sends a request on a connection of its own, or on one of the agent's, and resolves to what came back. Never rejects.
export function call (sent: CallerRequest, agent?: Agent): Promise<CallerAnswer> {
  const [host, port] = sent.address.split(':')
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let status = 0
    let headers: CallerAnswer['headers'] = {}
    const end = (isComplete: boolean, error: string | null): void => {
      clearTimeout(timer)
      resolve({ status, headers, body: Buffer.concat(chunks), isComplete, error })
    }
    const outgoing = request({
      host,
      port: Number(port),
      path: sent.path,
      method: sent.method ?? 'POST',
      agent: agent ?? new Agent({ keepAlive: false }),
      headers: {
        host: 'demo.example',
        ...sent.headers,
        'content-length': String(Buffer.byteLength(sent.body ?? '')),
        'deadline-ms': String(sent.timeoutMs)
      }
    }, response => {
      status = response.statusCode ?? 0
      headers = response.headers
      response.on('data', (chunk: Buffer) => { chunks.push(chunk) })
      response.on('error', error => end(false, error.message))
      response.on('end', () => end(response.complete, null))
    })
    const timer = setTimeout(() => outgoing.destroy(new Error('the deadline has passed')), sent.timeoutMs)
    outgoing.on('error', error => end(false, error.message))
    outgoing.end(sent.body)
  })
}

/// Sends a request with the id, and once more, under another one, if it is refused with 503 and a time for that.
/// `onRetry` is called with the id of the second request.
export async function callWithRetry (
  sent: CallerRequest, id: string, onRetry: (id: string) => void = () => {}
): Promise<CallerAnswer> {
  const withId = (attemptId: string): CallerRequest => ({ ...sent, headers: { ...sent.headers, 'attempt-id': attemptId } })
  const answer = await call(withId(id))
  const retryAfterS = Number(answer.headers['retry-after'])
  if (answer.status !== 503 || !(retryAfterS > 0)) return answer
  await sleep(retryAfterS * 1000)
  onRetry(`${id}-again`)
  return await call(withId(`${id}-again`))
}

/// Resident memory of a node's process in MB; 0 for one that has ended.
export function readResidentMb ({ process: child }: SystemNode): number {
  try {
    const status = readFileSync(`/proc/${child.pid}/status`, 'utf8')
    return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) / 1024
  } catch {
    return 0
  }
}

/// Runs a case, and exits with the code that it resolves to; 2 if it couldn't run.
export function runCase (run: () => Promise<number>): void {
  run().then(code => process.exit(code), (error: unknown) => {
    process.stderr.write(`${String(error)}\n`)
    process.exit(exitCodes.notRun)
  })
}
