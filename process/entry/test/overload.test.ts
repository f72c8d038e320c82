import { randomBytes } from 'node:crypto'
import { connect } from 'node:net'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { sleep } from '#process/clock'
import { StandinSystem } from '#standin/system'

// An entry as a real process, so that its event loop and not the test's is the one that falls behind.

const timeoutMs = 1500
/// A call must have its answer this long after its timeout.
const marginMs = 500
/// Calls arrive at 1,200 per second for 3 s; an entry with a core of its own serves some hundred per second.
const callsPerBatch = 60
const batchIntervalMs = 50
const batches = 60

const system = new StandinSystem({
  command: [process.execPath, '--import', 'tsx', '--conditions=source', 'platform/src/main.ts'],
  entries: 1,
  storages: 3,
  engines: 2,
  services: 1
})

beforeAll(async () => { await system.start() }, 30_000)

afterAll(async () => { await system.stop() })

interface Answer {
  /// 0 if the connection ended without a response.
  readonly status: number
  readonly durationMs: number
}

/// Sends the first turn of a program on a connection of its own, and waits for the end of the response.
function sendTurn (address: string): Promise<Answer> {
  const [host, port] = address.split(':')
  const id = randomBytes(8).toString('hex')
  const head = `POST /query/1 HTTP/1.1\r\nhost: demo.example\r\nattempt-id: ${id}\r\nprogram-id: ${id}\r\n` +
    `token-budget: 1000\r\ntoken-usage: 400,100\r\ndeadline-ms: ${timeoutMs}\r\nconnection: close\r\ncontent-length: 5\r\n\r\n`
  return new Promise(resolve => {
    const sentAtMs = performance.now()
    const chunks: Buffer[] = []
    const socket = connect(Number(port), host, () => socket.write(`${head}hello`))
    socket.on('data', chunk => chunks.push(chunk))
    socket.on('error', () => {})
    socket.on('close', () => {
      const status = Number(/^HTTP\/1.1 (\d{3})/.exec(Buffer.concat(chunks).toString('latin1'))?.[1] ?? 0)
      resolve({ status, durationMs: performance.now() - sentAtMs })
    })
  })
}

// Guards against calls held past their timeout: they waited in the sockets of a busy entry, which refused none of them.
test('more calls at once than the processor can serve: each is answered within its timeout, or refused', async () => {
  const address = system.entries[0]!.callersAddress
  const pending: Promise<Answer>[] = []
  for (let i = 0; i < batches; i++) {
    for (let j = 0; j < callsPerBatch; j++) pending.push(sendTurn(address))
    await sleep(batchIntervalMs)
  }
  const answers = await Promise.all(pending)
  expect(answers.filter(answer => answer.durationMs > timeoutMs + marginMs).length).toBe(0)
  expect(answers.filter(answer => answer.status === 200).length).toBeGreaterThan(0)
}, 30_000)
