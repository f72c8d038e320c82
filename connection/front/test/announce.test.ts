import { afterEach, expect, test } from 'vitest'
import { FrontServer } from '#connection/front'
import type { Exchange } from '#connection/front'
import { RawClient } from './rawclient.js'

const request = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n'
const word = '!'

let front: FrontServer
let client: RawClient

afterEach(async () => {
  client.socket.destroy()
  await front.close()
})

/// Resolves to the exchanges that are served, in their order.
async function start (): Promise<Exchange[]> {
  const exchanges: Exchange[] = []
  front = new FrontServer({
    serve: async exchange => { exchanges.push(exchange) },
    onMalformed: () => {},
    onDropped: () => {},
    onAccepting: () => {},
    getDelayMs: () => 0
  })
  client = await RawClient.open(Number(new URL(await front.listen('127.0.0.1:0')).port))
  return exchanges
}

async function serve (exchanges: Exchange[], count: number): Promise<Exchange> {
  client.socket.write(request)
  while (exchanges.length < count) await new Promise(resolve => setImmediate(resolve))
  return exchanges[count - 1]!
}

const announce = (isHeard = true): void => front.announce(Buffer.from(word), () => isHeard)

test('bytes are announced between two responses, on connections whose clients expect them', async () => {
  const exchanges = await start()
  const first = await serve(exchanges, 1)
  first.respond(200, {}, Buffer.from('one'), false)
  await client.waitFor(/one$/)
  announce(false)
  announce()
  await client.waitFor(/one!$/)
  const second = await serve(exchanges, 2)
  second.respond(200, {}, Buffer.from('two'), false)
  await client.waitFor(/one!HTTP[^!]*two$/)
})

test('bytes that are announced within a response follow it', async () => {
  const exchanges = await start()
  const first = await serve(exchanges, 1)
  first.startResponse(200, { 'content-length': '6' }, false)
  first.write(Buffer.from('one'))
  announce()
  first.write(Buffer.from('two'))
  first.end()
  await client.waitFor(/onetwo!$/)
})

test('nothing is announced on a connection that ends with its next response', async () => {
  const exchanges = await start()
  const first = await serve(exchanges, 1)
  announce()
  first.respond(200, {}, Buffer.from('one'), true)
  await client.waitForEnd()
  expect(client.text).toMatch(/connection: close[^!]*one$/)
})
