import { Socket, createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { afterEach, describe, expect, test, vi } from 'vitest'
import { RelayWord } from '#process/relay'
import { busy, busyMs, connectClient, countExecutions, formatCall, listEntry, listStatuses } from './relaypair.js'

describe('an entry that fails', () => {
  let server: Server
  let sockets: Socket[]

  /// Lists a server as an entry that treats each relayed call with `handle`.
  async function listServer (handle: (socket: Socket) => void): Promise<void> {
    sockets = []
    server = createServer(socket => {
      sockets.push(socket)
      socket.on('error', () => {})
      socket.once('data', () => socket.write(Buffer.of(RelayWord.taken)))
      socket.on('data', chunk => { if (chunk.toString('latin1').includes('attempt-id')) handle(socket) })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    listEntry(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  }

  afterEach(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })

  const head = 'HTTP/1.1 200 OK\r\nattempt-id: a1\r\nconnection: close\r\n'

  const fallSilent = (): void => { for (let i = 0; i < 12; i++) busy.directory.tick(busyMs, 1) }

  test.each<[string, (socket: Socket) => void, 'closed' | 'reset']>([
    ['closes within a body of known length: the connection is closed', socket => socket.end(`${head}content-length: 9\r\n\r\nhalf`), 'closed'],
    ['resets within a body without a length: the connection is reset', socket => socket.write(`${head}\r\nhalf`, () => socket.resetAndDestroy()), 'reset'],
    ['falls silent within a body: the connection is reset', socket => socket.write(`${head}\r\nhalf`, () => setTimeout(fallSilent, 100)), 'reset']
  ])('%s, and the call is not sent again', async (_, handle, ended) => {
    await listServer(handle)
    const client = connectClient(formatCall())
    await vi.waitFor(() => expect(client.ended()).toBe(ended))
    expect([countExecutions(), busy.relay.count]).toEqual([[0, 0], 0])
  })

  test.each<[string, (socket: Socket) => void]>([
    ['closes', socket => socket.end()],
    ['resets', socket => socket.resetAndDestroy()],
    ['falls silent', fallSilent]
  ])('%s before it answers: the caller gets status 502, the call is not sent again, and the next one is served here', async (_, handle) => {
    await listServer(handle)
    const client = connectClient(formatCall())
    await vi.waitFor(() => expect(client.received()).toMatch(/^HTTP\/1\.1 502 /))
    expect([countExecutions(), busy.relay.count]).toEqual([[0, 0], 0])
    client.socket.write(formatCall('/charge/1', 'a2'))
    await vi.waitFor(() => expect(client.received()).toMatch(/HTTP\/1\.1 200 /))
    expect(countExecutions()).toEqual([1, 0])
  })

  // Guards against requests hidden in a malformed one: what follows its rejection is no request.
  test.each([
    ['while it is drained', () => busy.relay.drain()],
    ['that it closes', () => {}]
  ])('rejects a request and asks for a close on a connection %s: what the caller sends afterwards is not served', async (_, drain) => {
    await listServer(socket => {
      drain()
      socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n')
    })
    const client = connectClient()
    client.socket.once('data', () => client.socket.write(formatCall('/charge/1', 'hidden')))
    client.socket.write('POST /charge/1 HTTP/1.1\r\nhost: demo.example\r\nattempt-id: a1\r\ncontent-length: 300\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n')
    await vi.waitFor(() => expect(client.ended()).not.toBe('open'))
    expect([listStatuses(client), countExecutions()]).toEqual([[400], [0, 0]])
  })

  test('can not be reached: connections are served here, also the next ones', async () => {
    await listServer(socket => socket.end())
    server.close()
    for (let i = 0; i < 2; i++) expect((await busy.call('/charge/1')).status).toBe(200)
    expect([countExecutions(), sockets.length]).toEqual([[2, 0], 0])
  })
})
