import { afterEach, expect, test } from 'vitest'
import { FrontServer } from '#connection/front'
import { RawClient } from './rawclient.js'

const clientCount = 40

let clients: RawClient[] = []

afterEach(() => { for (const client of clients) client.socket.destroy() })

// Guards against LOST: requests on connections that waited to be accepted were reset as the server closed.
test('many connections wait to be accepted as the server closes: each gets its response', async () => {
  const front = new FrontServer({
    serve: async exchange => exchange.respond(200, {}, Buffer.from('ok'), true),
    onMalformed: () => {},
    onDropped: () => {},
    onConnection: () => {},
    getDelayMs: () => 0
  })
  const port = Number(new URL(await front.listen('127.0.0.1:0')).port)
  const opening = Array.from({ length: clientCount }, () => RawClient.open(port))
  clients = await Promise.all(opening)
  for (const client of clients) client.socket.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n')
  await front.close()
  await Promise.all(clients.map(client => client.waitForEnd()))
  expect(clients.map(({ statuses }) => statuses.join())).toEqual(Array(clientCount).fill('200'))
})
