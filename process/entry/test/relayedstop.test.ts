import type { Socket } from 'node:net'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { sleep } from '#process/clock'
import { StandinSystem, throttle } from '#standin/system'
import { open } from './rawcaller.js'
import { sendAtRate } from './turns.js'

// Entries as real processes. One has a share of a processor only, so it relays its callers' connections to the other
// one. Callers keep their connections until they are closed.

const processorShare = 0.25
const callerCount = 24
const callsPerSecond = 60
const warmUpMs = 3000
/// Before and after the signal.
const loadMs = 1500

let system: StandinSystem

beforeAll(async () => {
  system = new StandinSystem({
    command: [process.execPath, '--import', 'tsx', '--conditions=source', 'platform/src/main.ts'],
    entries: 3,
    storages: 3,
    engines: 2,
    services: 1
  })
  await system.start()
}, 30_000)

afterAll(async () => { await system.stop() })

/// Calls the tool `charge` again and again on kept connections until `isOver`. Returns the ids of the calls whose
/// connection ended before their response was complete.
async function callUntil (address: string, caller: string, isOver: () => boolean): Promise<string[]> {
  const broken: string[] = []
  let socket: Socket | null = null
  for (let number = 0; !isOver(); number++) {
    const id = `${caller}x${number}`
    socket ??= await open(address).catch(() => null)
    const isLast = socket === null || await call(socket, id)
    if (isLast === 'broken') broken.push(id)
    if (isLast !== false) {
      socket?.destroy()
      socket = null
      await sleep(50)
    }
    await sleep(Math.random() * 20)
  }
  socket?.destroy()
  return broken
}

/// Resolves to whether the response closes the connection, or to 'broken' if the connection ended without one.
function call (socket: Socket, id: string): Promise<boolean | 'broken'> {
  return new Promise(resolve => {
    let received = ''
    const finish = (result: boolean | 'broken'): void => {
      socket.off('data', onData)
      socket.off('close', onClose)
      resolve(result)
    }
    const onData = (chunk: Buffer): void => {
      received += chunk.toString('latin1')
      const end = received.indexOf('\r\n\r\n')
      const length = Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0)
      if (end >= 0 && received.length >= end + 4 + length) finish(/connection: close/i.test(received))
    }
    const onClose = (): void => finish('broken')
    socket.on('data', onData)
    socket.on('close', onClose)
    if (socket.destroyed) return finish('broken')
    socket.write(`POST /charge/1 HTTP/1.1\r\nhost: demo.example\r\nattempt-id: ${id}\r\ndeadline-ms: 1500\r\ncontent-length: 0\r\n\r\n`)
  })
}

/// Whether the entry has written an event of this name.
const hasEvent = (index: number, name: string): boolean =>
  system.entries[index]!.outputLines.some(line => line.includes(`"msg":"${name}"`))

// Guards against calls without a response at a restart or a loss of power, on connections that an entry relays.
test.each<['SIGTERM' | 'SIGKILL', string, number]>([
  ['SIGTERM', 'that callers are connected to', 0],
  ['SIGTERM', 'that serves the calls', 1],
  ['SIGTERM', 'that serves other calls', 2],
  ['SIGKILL', 'that serves the calls', 1],
  ['SIGKILL', 'that serves other calls', 2]
])('%s of the entry %s: each call that an instance has run gets a response', async (signal, _, index) => {
  const [small] = system.entries
  const release = throttle(small!, processorShare)
  try {
    await sendAtRate(small!.callersAddress, callsPerSecond, warmUpMs)
    let isOver = false
    const callers = Array.from({ length: callerCount }, (__, caller) => {
      return callUntil(small!.callersAddress, `${signal}${index}x${caller}`, () => isOver)
    })
    await sleep(loadMs)
    expect(hasEvent(0, 'connection-relayed')).toBe(true)
    if (index === 0) release()
    await system.restart(system.entries[index]!, signal, false)
    await sleep(loadMs)
    isOver = true
    const broken = new Set((await Promise.all(callers)).flat())
    const executed = system.services[0]!.executedRequests.map(request => request.callId)
    expect(executed.length).toBeGreaterThan(100)
    expect(executed.filter(id => broken.has(id))).toEqual([])
    expect(new Set(executed).size).toBe(executed.length)
  } finally {
    release()
  }
}, 60_000)
