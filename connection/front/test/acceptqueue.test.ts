import { EventEmitter } from 'node:events'
import type { Socket } from 'node:net'
import { setImmediate } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { FrontServer } from '#connection/front'
import type { Exchange } from '#connection/front'
import { ConnectionQueue } from '../src/connectionqueue.js'
import { RawClient } from './rawclient.js'

const clientCount = 40
const serveMs = 20

let clients: RawClient[] = []

afterEach(() => { for (const client of clients) client.socket.destroy() })

function createFront (serve: (exchange: Exchange) => void): FrontServer {
  return new FrontServer({
    serve: async exchange => {
      serve(exchange)
      exchange.respond(200, {}, Buffer.from('ok'), true)
    },
    onMalformed: () => {},
    onDropped: () => {},
    onAccepting: () => {},
    getDelayMs: () => 0
  })
}

/// Opens connections, and sends a request on each, before any is accepted.
async function openClients (front: FrontServer): Promise<void> {
  const port = Number(new URL(await front.listen('127.0.0.1:0')).port)
  clients = await Promise.all(Array.from({ length: clientCount }, () => RawClient.open(port)))
  for (const client of clients) client.socket.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n')
}

// Guards against LOST: requests on connections that waited to be accepted were reset as the server closed.
test('many connections wait to be accepted as the server closes: each gets its response', async () => {
  const front = createFront(() => {})
  await openClients(front)
  await front.close()
  await Promise.all(clients.map(client => client.waitForEnd()))
  expect(clients.map(({ statuses }) => statuses.join())).toEqual(Array(clientCount).fill('200'))
})

// Guards against calls whose age is unknown, since they wait to be accepted while others are served.
test('serving a request takes long: connections are accepted first, and requests count as arrived with them', async () => {
  const arrivedAtMs: number[] = []
  const front = createFront(exchange => {
    arrivedAtMs.push(exchange.arrivedAtMs)
    const startedAtMs = performance.now()
    while (performance.now() - startedAtMs < serveMs);
  })
  await openClients(front)
  await Promise.all(clients.map(client => client.waitForEnd()))
  await front.close()
  expect(arrivedAtMs.length).toBe(clientCount)
  expect(Math.max(...arrivedAtMs) - Math.min(...arrivedAtMs)).toBeLessThan(clientCount * serveMs / 2)
})

// Guards against memory of requests that no limit knows of, since they wait to be served.
test.each([
  ['nothing', 0, 23],
  ['much', 1024 * 1024, 4]
])('%s has been read on each connection that waits: a bounded amount waits', async (_, readableLength, expected) => {
  let served = 0
  const queue = new ConnectionQueue({ serve: () => { served++ }, onIteration: () => {} })
  let maxWaiting = 0
  for (let added = 1; added <= 24; added++) {
    queue.add(Object.assign(new EventEmitter(), { readableLength }) as Socket)
    maxWaiting = Math.max(maxWaiting, added - served)
    await setImmediate()
  }
  queue.close()
  expect([maxWaiting, served]).toEqual([expected, 24])
})
