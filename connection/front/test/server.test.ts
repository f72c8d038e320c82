import { connect } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { FrontServer } from '#connection/front'

let front: FrontServer
let address: [string, number]
const seen: string[] = []

beforeEach(async () => {
  seen.length = 0
  front = new FrontServer({
    serve: async exchange => {
      const { method, path } = exchange.head
      const body = await exchange.readBody(1000).catch(() => null)
      if (body === null) return exchange.abort()
      seen.push(`${method} ${path} ${body.length}`)
      exchange.respond(200, {}, Buffer.from('ok'), false)
    },
    onMalformed: () => {}
  })
  const bound = (await front.listen('127.0.0.1:0')).replace('http://', '')
  address = [bound.split(':')[0]!, Number(bound.split(':')[1])]
})

afterEach(() => front.close())

function exchangeRaw (text: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(address[1], address[0], () => socket.end(text))
    let answer = ''
    socket.on('data', chunk => { answer += chunk.toString('latin1') })
    socket.on('close', () => resolve(answer))
    socket.on('error', reject)
  })
}

const longPath = `/${'a'.repeat(900)}/b`

// The framework's router, parsers and 404 must not come between a request and the core.
test.each([
  ['a plain path', 'GET', '/a/b', '', 0],
  ['a long path', 'GET', longPath, '', 0],
  ['an escape that is none', 'GET', '/a/%zz', '', 0],
  ['an escaped slash and dots', 'GET', '/a/%2F../b', '', 0],
  ['a query', 'GET', '/a?b=c&d=%20', '', 0],
  ['doubled slashes', 'GET', '//a//b', '', 0],
  ['a method that the framework does not route', 'PROPFIND', '/a', '', 0],
  ['a body of a type that it can not parse', 'POST', '/a', 'content-type: application/x-odd\r\ncontent-length: 3\r\n', 3],
  ['JSON that is none', 'POST', '/a', 'content-type: application/json\r\ncontent-length: 3\r\n', 3],
  ['a PUT', 'PUT', '/a', 'content-length: 3\r\n', 3],
  ['a body with DELETE', 'DELETE', '/a', 'content-length: 3\r\n', 3]
])('%s reaches the core as it is', async (_, method, path, headers, length) => {
  const answer = await exchangeRaw(`${method} ${path} HTTP/1.1\r\nhost: h\r\n${headers}connection: close\r\n\r\n${'{{{'.slice(0, length)}`)
  expect(answer).toMatch(/^HTTP\/1\.1 200 /)
  expect(seen).toEqual([`${method} ${path} ${length}`])
})

test.each([
  ['two lengths', 'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd'],
  ['a length beside chunks', 'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n'],
  ['a length that is none', 'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3x\r\n\r\nabc'],
  ['chunks in another coding', 'POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: xchunked\r\n\r\nabc'],
  ['a space before the colon', 'GET /a HTTP/1.1\r\nhost: h\r\nx-a : b\r\n\r\n'],
  ['a bare line feed in the head', 'GET /a HTTP/1.1\nhost: h\n\nGET /b HTTP/1.1\r\nhost: h\r\n\r\n'],
  ['a chunk size that is none', 'POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n'],
  ['no host', 'GET /a HTTP/1.1\r\n\r\n']
])('%s is refused and reaches nobody', async (_, text) => {
  const answer = await exchangeRaw(text)
  expect(answer === '' || /^HTTP\/1\.1 400 /.test(answer)).toBe(true)
  expect(seen).toEqual([])
})
