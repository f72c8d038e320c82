import dgram from 'node:dgram'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { sleep } from '#process/clock'
import { Network, usualLink } from '#standin/machine'
import type { LinkState } from '#standin/machine'

const waitMs = 80
const shortMs = 20

let server: Server
let address = ''
let network: Network
let uninstall = (): void => {}
let accepted: Socket[] = []
/// What the server received, a text for each connection.
let received: string[] = []

beforeEach(async () => {
  accepted = []
  received = []
  server = createServer(socket => {
    const i = accepted.push(socket) - 1
    received[i] = ''
    socket.on('data', chunk => { received[i] += chunk.toString() })
    socket.on('error', () => {})
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  network = new Network('127.0.3.1', address)
  uninstall = network.install()
})

afterEach(() => {
  uninstall()
  for (const socket of accepted) socket.destroy()
  server.close()
})

function open (): Socket {
  const socket = connect({ host: '127.0.0.1', port: Number(address.split(':')[1]) })
  socket.on('error', () => {})
  return socket
}

async function openReady (): Promise<Socket> {
  const socket = open()
  await once(socket, 'connect')
  await sleep(shortMs)
  return socket
}

function setLink (state: Partial<LinkState>): void {
  network.setLinks({ [address]: { ...usualLink, ...state } })
}

test('a connection comes from the own address of the machine', async () => {
  const socket = await openReady()
  expect(accepted[0]!.remoteAddress).toBe('127.0.3.1')
  socket.destroy()
})

test('what is sent during a cut arrives when it is over, in order', async () => {
  const socket = await openReady()
  setLink({ isSendingCut: true })
  socket.write('one')
  socket.write('two')
  socket.end('three')
  await sleep(waitMs)
  expect(received).toEqual([''])
  setLink({})
  await once(accepted[0]!, 'end')
  expect(received).toEqual(['onetwothree'])
})

test('what others send during a cut is read when it is over', async () => {
  const socket = await openReady()
  let text = ''
  socket.on('data', chunk => { text += chunk.toString() })
  setLink({ isReceivingCut: true })
  accepted[0]!.write('one')
  await sleep(waitMs)
  expect(text).toBe('')
  setLink({})
  await sleep(waitMs)
  expect(text).toBe('one')
  socket.destroy()
})

test('a connection that is opened during a cut hangs until it is over', async () => {
  setLink({ isSendingCut: true })
  const socket = open()
  socket.write('one')
  await sleep(waitMs)
  expect(socket.connecting).toBe(true)
  setLink({})
  await sleep(waitMs)
  expect(received).toEqual(['one'])
  socket.destroy()
})

test('a connection that goes silent stays so, while a new one works', async () => {
  const [silent, other] = [await openReady(), await openReady()]
  other.destroy()
  let text = ''
  silent.on('data', chunk => { text += chunk.toString() })
  network.silence(address)
  const later = await openReady()
  for (const socket of [silent, later]) socket.write('one')
  accepted[0]!.write('two')
  await sleep(waitMs)
  expect(received).toEqual(['', '', 'one'])
  expect(text).toBe('')
  for (const socket of [silent, later]) socket.destroy()
})

test.each<[string, Partial<LinkState>, string[]]>([
  ['arrive', {}, ['one']],
  ['are lost during a cut', { isSendingCut: true }, []],
  ['arrive during a cut of the other direction', { isReceivingCut: true }, ['one']],
  ['arrive later on a slow link', { delayMs: shortMs }, ['one']]
])('datagrams %s', async (_, state, expected) => {
  const [receiver, sender] = [dgram.createSocket('udp4'), dgram.createSocket('udp4')]
  const texts: string[] = []
  receiver.on('message', bytes => texts.push(bytes.toString()))
  receiver.bind(0, '127.0.0.1')
  await once(receiver, 'listening')
  const { port } = receiver.address()
  network.setLinks({ [`127.0.0.1:${port}`]: { ...usualLink, ...state } })
  sender.send(Buffer.from('one'), port, '127.0.0.1', () => {})
  await sleep(waitMs)
  network.setLinks({})
  await sleep(shortMs)
  expect(texts).toEqual(expected)
  receiver.close()
  sender.close()
})
