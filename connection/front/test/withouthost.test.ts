import { afterEach, beforeEach, expect, test } from 'vitest'
import { FrontServer } from '#connection/front'
import { RawClient } from './rawclient.js'

const get = (path: string, fields = 'host: h\r\n'): string => `GET ${path} HTTP/1.1\r\n${fields}\r\n`

let front: FrontServer
let client: RawClient
let served: string[]
let malformed: string[]
let dropped: string[]

beforeEach(async () => {
  served = []
  malformed = []
  dropped = []
  front = new FrontServer({
    serve: async exchange => {
      served.push(exchange.head.path)
      exchange.respond(200, {}, Buffer.from('ok'), false)
    },
    onMalformed: code => malformed.push(code),
    onDropped: exchange => dropped.push(exchange.head.path),
    onAccepting: () => {},
    getDelayMs: () => 0
  })
  client = await RawClient.open(Number(new URL(await front.listen('127.0.0.1:0')).port))
})

afterEach(async () => {
  client.socket.destroy()
  await front.close()
})

// Guards against requests that are run and get no response, as one before them is refused by Node itself.
test.each([
  ['without a Host field', ''],
  ['with two Host fields', 'host: h\r\nhost: i\r\n']
])('requests behind one %s: none is served without a response, and each has an end', async (_, fields) => {
  client.socket.write(get('/1') + get('/2', fields) + get('/3'))
  await client.waitForEnd()
  const answered = client.statuses.filter(status => status === '200').length
  expect([served.length, malformed.length, dropped.length + served.length]).toEqual([answered, 1, 2])
})
