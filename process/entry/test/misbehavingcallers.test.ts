import { randomBytes } from 'node:crypto'
import { mkdtemp, readFile, readdir, rm } from 'node:fs/promises'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { build } from 'esbuild'
import { afterAll, afterEach, beforeAll, expect, test } from 'vitest'
import { request } from 'undici'
import { sleep } from '#process/clock'
import { StandinSystem, limitDescriptors } from '#standin/system'
import { behaviours, gather } from './misbehavingcallers.js'
import type { Behaviour, Place } from './misbehavingcallers.js'

// An entry as a real process, with the memory of the smallest machines and few descriptors. Guards against callers that
// end it, make it hang or use up its memory or descriptors, whatever they send and at whatever path and address.

const memoryMb = 178
/// What V8 chooses by itself on a machine with so much memory.
const heapArguments = ['--max-old-space-size=89', '--max-semi-space-size=1']
const maxDescriptors = 256
/// Of the descriptors that the settings allow, so many must stay free for a call's connections to instances and storage
/// and for files, whatever callers do.
const reservedDescriptors = 32
const sampleIntervalMs = 20
/// How long an ordinary request is repeated; after so long the process counts as one that hangs.
const maxHangMs = 15_000
const largeResponse = Buffer.alloc(1024 * 1024)

let system: StandinSystem
let folder: string
let server: Server
let crowd: Socket[] = []

/// An instance that reads the whole request. At the path /charge/large it gives a large response.
function receive (socket: Socket): void {
  let head = ''
  let bodyBytes = 0
  socket.on('error', () => {})
  socket.on('data', chunk => {
    const hadHead = head.includes('\r\n\r\n')
    if (!hadHead) head += chunk.toString('latin1')
    const end = head.indexOf('\r\n\r\n')
    if (end < 0) return
    bodyBytes += hadHead ? chunk.length : head.length - end - 4
    if (bodyBytes < Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0)) return
    const callId = /^attempt-id: (\w+)\r$/im.exec(head)?.[1] ?? ''
    const body = head.includes('/charge/large') ? largeResponse : Buffer.from('whole')
    head = ''
    bodyBytes = 0
    socket.write(`HTTP/1.1 200 OK\r\nattempt-id: ${callId}\r\nserver-signature: s\r\ncontent-length: ${body.length}\r\n\r\n`)
    socket.write(body)
  })
}

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'chicorynotch-bundle-'))
  const outfile = join(folder, 'daemon.cjs')
  await build({ entryPoints: ['platform/src/main.ts'], bundle: true, platform: 'node', target: 'node20', format: 'cjs', conditions: ['source'], outfile })
  server = createServer(receive)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const command = limitDescriptors([process.execPath, ...heapArguments, outfile], maxDescriptors)
  system = new StandinSystem({ command, memoryMb, entries: 1, storages: 3, engines: 0, services: 0 })
  system.store.put('servers', 'tools-raw', { service: 'tools', address, zone: 'north', version: 'v1', slots: 256, state: 'ready', cold_remaining_ms: 0, seq: 1 })
  await system.start()
}, 30_000)

/// Each test has a process of its own, whose peak of memory is that of the test.
afterEach(async () => {
  for (const socket of crowd) socket.destroy()
  crowd = []
  await system.restart(system.entries[0]!, 'SIGKILL', false)
  await system.waitUntilReady()
}, 30_000)

afterAll(async () => {
  server.close()
  await system.stop()
  await rm(folder, { recursive: true, force: true })
})

const getPid = (): number => system.entries[0]!.process.pid!

/// The most memory that the process has held.
async function readPeakMb (): Promise<number> {
  const status = await readFile(`/proc/${getPid()}/status`, 'latin1')
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)![1]) / 1024
}

async function countDescriptors (): Promise<number> {
  return (await readdir(`/proc/${getPid()}/fd`)).length
}

async function call (url: string, method: 'GET' | 'POST'): Promise<number> {
  try {
    const { statusCode, body } = await request(url, {
      method,
      headers: { host: 'demo.example', 'attempt-id': randomBytes(8).toString('hex'), 'deadline-ms': '1500' },
      body: method === 'POST' ? 'hello' : null,
      headersTimeout: 2000,
      bodyTimeout: 2000,
      reset: true
    })
    await body.dump()
    return statusCode
  } catch {
    return 0
  }
}

/// Has the crowd do what it does, and watches the process meanwhile.
async function endure (place: Place, count: number, behave: Behaviour): Promise<{ mostDescriptors: number }> {
  const run = { isOver: false, mostDescriptors: 0 }
  const measure = async (): Promise<void> => {
    while (!run.isOver) {
      run.mostDescriptors = Math.max(run.mostDescriptors, await countDescriptors().catch(() => 0))
      await sleep(sampleIntervalMs)
    }
  }
  const measuring = measure()
  crowd = await gather(place, count, behave)
  await sleep(500)
  run.isOver = true
  await measuring
  return run
}

function findPlace (name: string): Place {
  const { callersAddress, readinessAddress, peerPort, metricsPort } = system.entries[0]!
  const places: Record<string, Place> = {
    'an ordinary path': { address: callersAddress, path: '/charge/large', opening: '' },
    'a path without a route': { address: callersAddress, path: '/nothing', opening: '' },
    'the readiness address': { address: readinessAddress, path: '/readyz', opening: '' },
    'the metrics address': { address: `127.0.0.1:${metricsPort}`, path: '/metrics', opening: '' },
    'an ordinary path, through another entry': { address: `127.0.0.1:${peerPort}`, path: '/charge/large', opening: 'RELAY 1 entry-9 await\n' }
  }
  return places[name]!
}

/// Of all places, the response is largest here.
const unreadMetrics = ['the metrics address', 'the shortest requests, pipelined, without reading the responses'] as const
const cases = [
  'an ordinary path',
  'a path without a route',
  'the readiness address',
  'an ordinary path, through another entry'
].flatMap(place => Object.keys(behaviours).map(sent => [place, sent] as const)).concat([unreadMetrics])

test.each(cases)('callers at %s that send %s: the process stays within its limits, and serves others', async (placeName, sent) => {
  const [behave, count] = behaviours[sent]!
  const { callersAddress, readinessAddress, process: child, outputLines } = system.entries[0]!
  const { mostDescriptors } = await endure(findPlace(placeName), count, behave)
  expect([child.exitCode, child.signalCode], outputLines.slice(-5).join('\n')).toEqual([null, null])
  const peakMb = await readPeakMb()
  expect({ peakMb, isWithin: peakMb < memoryMb }).toMatchObject({ isWithin: true })
  expect(mostDescriptors).toBeLessThanOrEqual(maxDescriptors - reservedDescriptors)
  // The crowd is still connected.
  await expect.poll(() => call(`http://${callersAddress}/charge/1`, 'POST'), { timeout: maxHangMs }).toBe(200)
  await expect.poll(() => call(`http://${readinessAddress}/readyz`, 'GET'), { timeout: maxHangMs }).toBe(200)
  expect([child.exitCode, child.signalCode]).toEqual([null, null])
}, 60_000)
