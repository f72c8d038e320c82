import { randomBytes } from 'node:crypto'
import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { build } from 'esbuild'
import { afterAll, afterEach, beforeAll, expect, test } from 'vitest'
import { request } from 'undici'
import { sleep } from '#process/clock'
import { StandinSystem } from '#standin/system'
import { open } from './rawcaller.js'

// An entry as a real process, on a machine with as much memory as the smallest ones have. Its instances send bytes
// without end until their client closes the connection, to many calls at once; or callers send or leave unread as much
// as they may. The process must stay within its memory, and calls of others must go on.

const megabyte = 1024 * 1024
const memoryMb = 178
/// What V8 chooses by itself on a machine with so much memory.
const heapArguments = ['--max-old-space-size=89', '--max-semi-space-size=1']
const callsAtOnce = 64
const timeoutMs = 1500
/// A call must have its response this long after its timeout.
const marginMs = 500
const sampleIntervalMs = 10
const goodIntervalMs = 5
const largeBodyBytes = 4 * megabyte

interface Outcome {
  readonly status: number
  readonly durationMs: number
}

let system: StandinSystem
let folder: string
let server: Server
/// Those that a request was received on.
const sockets = new Set<Socket>()
/// What the instances answer to calls of the attacked path: this head, and the piece without end.
let attack: { readonly path: string, readonly head: (callId: string) => string, readonly piece: Buffer } | null = null

const signedHead = (id: string): string => `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nserver-signature: s\r\n`
const streamHead = (id: string): string => `${signedHead(id)}content-type: text/event-stream\r\n\r\n`

function writeWithoutEnd (socket: Socket, piece: Buffer): void {
  const writeMore = (): void => {
    while (!socket.destroyed) if (!socket.write(piece)) return
  }
  socket.on('drain', writeMore)
  writeMore()
}

function answer (socket: Socket, received: string): void {
  const callId = /^attempt-id: (\w+)\r$/im.exec(received)?.[1] ?? ''
  const path = received.split(' ')[1]!
  if (path === attack?.path) {
    socket.write(attack.head(callId))
    writeWithoutEnd(socket, attack.piece)
  } else if (path.startsWith('/charge/large')) {
    socket.end(Buffer.concat([Buffer.from(`${signedHead(callId)}content-length: ${largeBodyBytes}\r\n\r\n`), Buffer.alloc(largeBodyBytes)]))
  } else if (path.startsWith('/query')) {
    socket.end(`${streamHead(callId)}id: 1\ndata: whole\n\n`)
  } else {
    socket.end(`${signedHead(callId)}content-length: 5\r\n\r\nwhole`)
  }
}

/// Waits for the whole request, as instances do.
function receive (socket: Socket): void {
  let received = ''
  let bodyBytes = 0
  socket.on('error', () => {})
  socket.on('close', () => sockets.delete(socket))
  socket.on('data', chunk => {
    sockets.add(socket)
    if (received.length < 16_384) received += chunk.toString('latin1')
    bodyBytes += chunk.length
    const end = received.indexOf('\r\n\r\n')
    const length = Number(/^content-length: (\d+)/im.exec(received)?.[1] ?? 0)
    if (end < 0 || bodyBytes < end + 4 + length) return
    bodyBytes = -Infinity
    answer(socket, received)
  })
}

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'chicorynotch-bundle-'))
  const outfile = join(folder, 'daemon.cjs')
  await build({
    entryPoints: ['platform/src/main.ts'],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    conditions: ['source'],
    outfile
  })
  server = createServer(receive)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  system = new StandinSystem({
    command: [process.execPath, outfile],
    nodeArguments: heapArguments,
    memoryMb,
    entries: 1,
    storages: 3,
    engines: 0,
    services: 0
  })
  for (const service of ['models', 'tools']) {
    system.store.put('servers', `${service}-raw`, { service, address, zone: 'north', version: 'v1', slots: 256, state: 'ready', cold_remaining_ms: 0, seq: 1 })
  }
  await system.start()
}, 30_000)

afterEach(() => {
  attack = null
  for (const socket of sockets) socket.destroy()
})

afterAll(async () => {
  server.close()
  await system.stop()
  await rm(folder, { recursive: true, force: true })
})

async function readResidentMb (): Promise<number> {
  const status = await readFile(`/proc/${system.entries[0]!.process.pid}/status`, 'latin1')
  return Number(/VmRSS:\s+(\d+) kB/.exec(status)![1]) / 1024
}

async function call (path: string, body: string | Buffer = 'hello'): Promise<Outcome> {
  const startedAtMs = performance.now()
  const method = path.startsWith('/check') ? 'GET' : 'POST'
  let status = 0
  try {
    const response = await request(`http://${system.entries[0]!.callersAddress}${path}`, {
      method,
      headers: { host: 'demo.example', 'attempt-id': randomBytes(8).toString('hex'), 'deadline-ms': String(timeoutMs) },
      body: method === 'GET' ? null : body
    })
    await response.body.arrayBuffer()
    status = response.statusCode
  } catch {
    // The response is not complete.
  }
  return { status, durationMs: performance.now() - startedAtMs }
}

/// Makes calls at once, and others to another service one after the other meanwhile. Returns the outcomes of both, and
/// the most memory that the process held.
async function callMeanwhile (
  makeCalls: () => Promise<Outcome[]>, otherPath: string
): Promise<{ outcomes: Outcome[], others: Outcome[], peakMb: number }> {
  const run = { isOver: false }
  let peakMb = 0
  const others: Outcome[] = []
  const measure = async (): Promise<void> => {
    while (!run.isOver) {
      peakMb = Math.max(peakMb, await readResidentMb())
      await sleep(sampleIntervalMs)
    }
  }
  const callOthers = async (): Promise<void> => {
    while (!run.isOver) {
      others.push(await call(otherPath))
      await sleep(goodIntervalMs)
    }
  }
  const background = [measure(), callOthers()]
  const outcomes = await makeCalls()
  run.isOver = true
  await Promise.all(background)
  return { outcomes, others, peakMb }
}

function callAtOnce (path: string, body?: string | Buffer): Promise<Outcome[]> {
  return Promise.all(Array.from({ length: callsAtOnce }, () => call(path, body)))
}

function expectOthersGoOn (others: readonly Outcome[]): void {
  for (const { status } of others) expect([200, 503]).toContain(status)
}

// Guards against bytes without end of many instances at once, of which a process kept so much that its machine had no
// memory left.
test.each<[string, string, (id: string) => string, string]>([
  ['bytes that are not HTTP', '/charge/1', () => '', 'garbage '],
  ['header lines', '/charge/1', signedHead, 'x: y\r\n'],
  ['a header value', '/charge/1', id => `${signedHead(id)}x: `, 'y'],
  ['a reason phrase', '/charge/1', () => 'HTTP/1.1 200 ', 'O'],
  ['informational responses', '/charge/1', () => '', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  ['a body without a length', '/charge/1', id => `${signedHead(id)}\r\n`, 'z'],
  ['a body without a length, for a call that may be retried', '/check/1', id => `${signedHead(id)}\r\n`, 'z'],
  ['a body in chunks', '/charge/1', id => `${signedHead(id)}transfer-encoding: chunked\r\n\r\n`, '8\r\nzzzzzzzz\r\n'],
  ['a body in chunks of a byte', '/charge/1', id => `${signedHead(id)}transfer-encoding: chunked\r\n\r\n`, '1\r\nz\r\n'],
  ['a chunk extension', '/charge/1', id => `${signedHead(id)}transfer-encoding: chunked\r\n\r\n8;`, 'z'],
  ['an event', '/chat/1', streamHead, 'z'],
  ['events', '/chat/1', streamHead, 'data: more\n\n'],
  ['events on a route without history', '/query/1', streamHead, 'data: more\n\n'],
  ['comments', '/chat/1', streamHead, ': more\n\n'],
  ['an answer to a turn that is not a stream', '/chat/1', id => `${signedHead(id)}\r\n`, 'z']
])('64 times %s without end: the process stays within its memory, and calls of others go on', async (_, path, head, piece) => {
  attack = { path, head, piece: Buffer.from(piece.repeat(Math.ceil(65_536 / piece.length)), 'latin1') }
  const otherPath = path.startsWith('/ch') && !path.startsWith('/chat') ? '/query/2' : '/check/2'
  const { outcomes, others, peakMb } = await callMeanwhile(() => callAtOnce(path), otherPath)
  for (const { status, durationMs } of outcomes) {
    expect([0, 502, 503, 504]).toContain(status)
    expect(durationMs).toBeLessThan(timeoutMs + marginMs)
  }
  expectOthersGoOn(others)
  expect(peakMb).toBeLessThan(memoryMb)
  await expect.poll(() => sockets.size).toBe(0)
  await expect.poll(async () => (await call(otherPath)).status).toBe(200)
})

test('64 requests of the largest size at once: the process stays within its memory', async () => {
  const body = Buffer.alloc(largeBodyBytes, 'x')
  const { outcomes, others, peakMb } = await callMeanwhile(() => callAtOnce('/charge/2', body), '/query/2')
  for (const { status } of outcomes) expect([200, 503]).toContain(status)
  expect(outcomes.some(({ status }) => status === 200)).toBe(true)
  expectOthersGoOn(others)
  expect(peakMb).toBeLessThan(memoryMb)
}, 30_000)

test('64 callers that do not read large responses: the process stays within its memory', async () => {
  const { others, peakMb } = await callMeanwhile(async () => {
    const { callersAddress } = system.entries[0]!
    const callers = await Promise.all(Array.from({ length: callsAtOnce }, () => open(callersAddress)))
    for (const [i, caller] of callers.entries()) {
      caller.pause()
      caller.write(`POST /charge/large HTTP/1.1\r\nhost: demo.example\r\nattempt-id: unread${i}\r\ndeadline-ms: ${timeoutMs}\r\ncontent-length: 0\r\n\r\n`)
    }
    await sleep(timeoutMs + marginMs)
    for (const caller of callers) caller.destroy()
    return []
  }, '/query/2')
  expectOthersGoOn(others)
  expect(peakMb).toBeLessThan(memoryMb)
}, 30_000)
