import { once } from 'node:events'
import type { Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { FrontServer } from '#connection/front'
import { RawClient } from './rawclient.js'

const request = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n'
const idleTimeoutMs = 60
/// Node waits so much longer than the idle time.
const nodeToleranceMs = 1000

let front: FrontServer
let client: RawClient

afterEach(async () => {
  client.socket.destroy()
  await front.close()
})

async function waitIdleTime (): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, idleTimeoutMs + nodeToleranceMs + 200))
}

/// What Node does each half minute with a connection that is late with a head.
async function reportLateHead (socket: Socket): Promise<void> {
  socket.emit('error', Object.assign(new Error('timeout'), { code: 'ERR_HTTP_REQUEST_TIMEOUT' }))
}

test.each<[string, boolean, number, (socket: Socket) => Promise<void>, boolean]>([
  ['the idle time ends', true, 1, waitIdleTime, true],
  ['the idle time ends', false, 1, waitIdleTime, false],
  ['the time for a first head is over', true, 0, reportLateHead, true],
  ['the time for a first head is over', false, 0, reportLateHead, false]
])('%s, idle connections are left open: %s', async (_, leavesIdleOpen, usedCount, pass, isOpen) => {
  const accepted: Socket[] = []
  front = new FrontServer({
    serve: async exchange => exchange.respond(200, {}, Buffer.from('ok'), false),
    onMalformed: () => {},
    onDropped: () => {},
    onAccepting: () => {},
    getDelayMs: () => 0,
    offerConnection: (socket, serveHere) => {
      accepted.push(socket)
      serveHere(false)
    },
    leavesIdleOpen
  })
  front.setLimits({ headerTimeoutMs: 1000, idleTimeoutMs })
  client = await RawClient.open(Number(new URL(await front.listen('127.0.0.1:0')).port))
  while (accepted.length === 0) await new Promise(resolve => setImmediate(resolve))
  for (let i = 0; i < usedCount; i++) {
    client.socket.write(request)
    await client.waitFor(/ok/)
  }
  await pass(accepted[0]!)
  if (!isOpen) return await client.waitForEnd()
  client.socket.write(request)
  await Promise.race([client.waitFor(usedCount === 0 ? /ok/ : /ok.*ok/s), once(client.socket, 'close')])
  expect(client.statuses.length).toBe(usedCount + 1)
})
