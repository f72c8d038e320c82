import { randomBytes } from 'node:crypto'
import { writeFileSync } from 'node:fs'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { join } from 'node:path'
import { StandinSystem } from '#standin/system'
import type { SystemOptions } from '#standin/system'

/// What a script says with its exit status.
export const Exit = { held: 0, broken: 1, couldNotRun: 2 } as const

/// Whether the disruption is to be played.
export const hasTrouble = process.env.TROUBLE !== '0'

const maxRunMs = 115_000

export function sleep (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

export function createId (): string {
  return randomBytes(8).toString('hex')
}

/// The lines of `record.txt`.
export class Record {
  private readonly lines: string[] = []
  private readonly startedAtMs = performance.now()

  constructor (private readonly folder: string) {}

  add (line: string): void {
    this.lines.push(`${((performance.now() - this.startedAtMs) / 1000).toFixed(3).padStart(8)} s  ${line}`)
  }

  save (): void {
    writeFileSync(join(this.folder, 'record.txt'), `${this.lines.join('\n')}\n`)
  }
}

/// Starts the system with the command of the deploy file.
export async function startSystem (options: Omit<SystemOptions, 'command'>): Promise<StandinSystem> {
  const system = new StandinSystem({ command: ['node', 'target/chicorynotchd.cjs'], ...options })
  await system.start()
  return system
}

/// Runs a script in `folder`, and ends the process with its result. All processes of the system end with it.
export function runScript (folder: string, play: (record: Record) => Promise<number>): void {
  const record = new Record(folder)
  const end = (status: number): never => {
    record.add(`exit status ${status}, ${hasTrouble ? 'with' : 'without'} the disruption`)
    record.save()
    process.exit(status)
  }
  setTimeout(() => {
    record.add('the script took too long')
    end(Exit.couldNotRun)
  }, maxRunMs)
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
    process.on(signal, () => {
      record.add(`the script got ${signal}`)
      end(Exit.couldNotRun)
    })
  }
  const fail = (error: unknown): never => {
    record.add(`the script failed: ${String((error as Error).stack ?? error)}`)
    return end(Exit.couldNotRun)
  }
  process.on('uncaughtException', fail)
  process.on('unhandledRejection', fail)
  play(record).then(end, fail)
}

/// A request of a client.
export interface ClientRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<{ [name: string]: string }>
  readonly body?: string | Buffer
}

/// What a client received. `status` is 0 without a head; `isWhole` only if the response is complete.
export interface ClientResponse {
  readonly status: number
  readonly headers: ReadonlyMap<string, string>
  readonly body: string
  readonly isWhole: boolean
}

/// A client's connection, with one request at a time.
export class ClientConnection {
  private readonly socket: Socket
  private received: Buffer = Buffer.alloc(0)
  private hasEnded = false
  private wake = (): void => {}

  constructor (address: string) {
    const [host, port] = address.split(':')
    this.socket = connect({ host: host!, port: Number(port), noDelay: true })
    this.socket.on('data', chunk => {
      this.received = Buffer.concat([this.received, chunk])
      this.wake()
    })
    this.socket.on('error', () => {})
    this.socket.on('close', () => {
      this.hasEnded = true
      this.wake()
    })
  }

  get isOpen (): boolean {
    return !this.hasEnded && !this.socket.destroyed
  }

  close (): void {
    this.socket.destroy()
  }

  /// Resolves when the response is complete, the connection has ended, or `timeoutMs` is over.
  async send (request: ClientRequest, timeoutMs: number): Promise<ClientResponse> {
    const body = Buffer.from(request.body ?? '')
    const fields = Object.entries(request.headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    const length = body.length > 0 || request.method === 'POST' ? `Content-Length: ${body.length}\r\n` : ''
    this.socket.write(Buffer.concat([Buffer.from(`${request.method} ${request.path} HTTP/1.1\r\n${fields}${length}\r\n`), body]))
    const endAtMs = performance.now() + timeoutMs
    for (;;) {
      const response = parseResponse(this.received)
      const isOver = this.hasEnded || performance.now() >= endAtMs
      if (!response.isWhole && !isOver) {
        await this.waitForMore(endAtMs - performance.now())
        continue
      }
      this.received = Buffer.alloc(0)
      if (!response.isWhole || response.headers.get('connection') === 'close') this.close()
      return response
    }
  }

  private waitForMore (ms: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, Math.max(1, ms))
      this.wake = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }
}

function parseResponse (bytes: Buffer): ClientResponse {
  const headEnd = bytes.indexOf('\r\n\r\n')
  if (headEnd < 0) return { status: 0, headers: new Map(), body: '', isWhole: false }
  const [statusLine, ...fields] = bytes.toString('latin1', 0, headEnd).split('\r\n')
  const headers = new Map(fields.map(field => {
    const colon = field.indexOf(':')
    return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()]
  }))
  const status = Number(statusLine!.split(' ')[1])
  const rest = bytes.subarray(headEnd + 4)
  if (headers.get('transfer-encoding') === 'chunked') return { status, headers, ...parseChunks(rest) }
  const length = Number(headers.get('content-length') ?? 0)
  return { status, headers, body: rest.toString('utf8', 0, length), isWhole: rest.length >= length }
}

function parseChunks (bytes: Buffer): Pick<ClientResponse, 'body' | 'isWhole'> {
  const parts: Buffer[] = []
  for (let at = 0; ;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    const size = lineEnd < 0 ? NaN : Number.parseInt(bytes.toString('latin1', at, lineEnd), 16)
    const start = lineEnd + 2
    const isWhole = bytes.length >= start + size + 2
    if (!isWhole || size === 0) return { body: Buffer.concat(parts).toString('utf8'), isWhole: isWhole && size === 0 }
    parts.push(bytes.subarray(start, start + size))
    at = start + size + 2
  }
}

/// A request as a worker has read it.
export interface WorkerRequest {
  readonly method: string
  readonly path: string
  readonly headers: ReadonlyMap<string, string>
  readonly body: Buffer
}

/// A worker of the users' protocol that answers each request with the bytes that `answer` returns. Requests for another
/// worker are rejected.
export class Worker {
  private readonly sockets = new Set<Socket>()
  private readonly server = createServer({ noDelay: true }, socket => this.serve(socket))

  constructor (
    readonly id: string, private readonly answer: (request: WorkerRequest, socket: Socket) => Promise<void>
  ) {}

  /// Returns HOST:PORT.
  async listen (): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private serve (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => this.sockets.delete(socket))
    this.serveRequests(socket).catch(() => socket.destroy())
  }

  private async serveRequests (socket: Socket): Promise<void> {
    let received: Buffer = Buffer.alloc(0)
    for await (const chunk of socket) {
      received = received.length === 0 ? chunk as Buffer : Buffer.concat([received, chunk as Buffer])
      for (;;) {
        const headEnd = received.indexOf('\r\n\r\n')
        if (headEnd < 0) break
        const [requestLine, ...fields] = received.toString('latin1', 0, headEnd).split('\r\n')
        const headers = new Map(fields.map(field => {
          const colon = field.indexOf(':')
          return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()]
        }))
        const bodyStart = headEnd + 4
        const bodyEnd = bodyStart + Number(headers.get('content-length') ?? 0)
        if (received.length < bodyEnd) break
        const [method = '', path = ''] = requestLine!.split(' ')
        const request = { method, path, headers, body: Buffer.from(received.subarray(bodyStart, bodyEnd)) }
        received = received.subarray(bodyEnd)
        if ((headers.get('expect-instance') ?? this.id) === this.id) await this.answer(request, socket)
        else socket.write(formatResponse(421, { 'Attempt-Id': headers.get('attempt-id') ?? '' }, ''))
      }
    }
  }
}

export function formatResponse (status: number, headers: { readonly [name: string]: string }, body: string): string {
  const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  return `HTTP/1.1 ${status} Status\r\n${fields}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}
