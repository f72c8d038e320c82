import { randomBytes } from 'node:crypto'
import { connect } from 'node:net'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { sleep } from '#process/clock'
import { StandinSystem } from '#standin/system'

// An entry as a real process, so that its event loop and not the test's is the one that falls behind.

const timeoutMs = 1500
/// A call must have its answer this long after its timeout.
const marginMs = 500
/// The capacity is measured with this many calls at a time.
const calibrationCalls = 32
const calibrationMs = 1500
/// The calls that then arrive, as a multiple of the capacity.
const overload = 5
const overloadMs = 3000
const batchIntervalMs = 25

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

/// Returns how many calls per second the entry serves when the next one is sent after each response.
async function measureCapacity (address: string): Promise<number> {
  const endMs = performance.now() + calibrationMs
  let served = 0
  await Promise.all(Array.from({ length: calibrationCalls }, async () => {
    while (performance.now() < endMs) if ((await sendTurn(address)).status === 200) served++
  }))
  return served / calibrationMs * 1000
}

// Guards against calls held past their timeout: they waited in the sockets of a busy entry, which refused none of them.
test('more calls than the processor can serve: each is answered within its timeout, or refused', async () => {
  const address = system.entries[0]!.callersAddress
  const capacity = await measureCapacity(address)
  const pending: Promise<Answer>[] = []
  const startedAtMs = performance.now()
  for (let elapsedMs = 0; elapsedMs < overloadMs; elapsedMs = performance.now() - startedAtMs) {
    while (pending.length < capacity * overload * elapsedMs / 1000) pending.push(sendTurn(address))
    await sleep(batchIntervalMs)
  }
  const answers = await Promise.all(pending)
  expect(answers.filter(answer => answer.durationMs > timeoutMs + marginMs).length).toBe(0)
  expect(answers.filter(answer => answer.status === 200).length).toBeGreaterThan(capacity)
}, 60_000)
