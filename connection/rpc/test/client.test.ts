import { createConnection, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, describe, expect, test } from 'vitest'
import { LedgerConnection, LedgerConnectionPool, LedgerServer, PeerError } from '#connection/rpc'
import type { LedgerHandler, LedgerPeer, Standing } from '#connection/rpc'

const standing: Standing = { diskId: 'd', viewVersion: 1, newerView: undefined }
const never = new Promise<never>(() => {})
/// Answers digests at once and appends never.
const halfDeaf: LedgerHandler = {
  append: () => never,
  findChain: () => never,
  digest: async () => ({ standing, keys: [], nextCursor: 0, atEnd: true, epoch: 'e' }),
  fetch: async () => ({ standing, records: [] })
}
const append = { viewVersion: 1, records: [], accountOf: '' }
const digest = { viewVersion: 1, cursor: 0, limit: 0, epoch: '' }
const closes: (() => void)[] = []

type Connect = (address: string) => LedgerPeer

async function connect (handler: LedgerHandler, open: Connect): Promise<LedgerPeer> {
  const server = new LedgerServer(handler)
  const connection = open(`127.0.0.1:${await server.listen('127.0.0.1:0')}`)
  closes.push(() => server.close(), () => connection.close())
  return connection
}

async function failureOf (work: Promise<unknown>): Promise<PeerError> {
  return await work.then(() => { throw new Error('it was answered') }, (error: PeerError) => error)
}

afterEach(() => {
  for (const close of closes.splice(0)) close()
})

describe.each<[string, Connect]>([
  ['one connection', address => new LedgerConnection(address)],
  ['several connections', address => new LedgerConnectionPool(address)]
])('%s', (_, open) => {
  test('a peer that answers other requests meanwhile is slow, not silent', async () => {
    const timeoutMs = 600
    const connection = await connect(halfDeaf, open)
    // Each connection is opened before, so that the answer comes while the append waits.
    await Promise.all([1, 2, 3, 4].map(() => connection.digest(digest, 5000)))
    const waiting = failureOf(connection.append(append, timeoutMs))
    const askedAtMs = performance.now()
    await connection.digest(digest, 5000)
    expect(performance.now() - askedAtMs).toBeLessThan(timeoutMs)
    const failure = await waiting
    expect([failure.name, failure.isSilent]).toEqual(['PeerError', false])
  })

  test('an answer counts also where the timer that follows it is late', async () => {
    const connection = await connect(halfDeaf, open)
    await Promise.all([1, 2, 3, 4].map(() => connection.digest(digest, 5000)))
    const waiting = failureOf(connection.append(append, 200))
    await connection.digest(digest, 5000)
    const untilMs = performance.now() + 400
    while (performance.now() < untilMs);
    expect((await waiting).isSilent).toBe(false)
  })

  test('a peer that answers nothing is silent, and is asked over a new connection', async () => {
    const connection = await connect(halfDeaf, open)
    for (let i = 0; i < 2; i++) expect((await failureOf(connection.append(append, 60))).isSilent).toBe(true)
    expect((await connection.digest(digest, 1000)).epoch).toBe('e')
  })

  test('answers that arrived while the loop stood still count as in time', async () => {
    const connection = await connect(halfDeaf, open)
    await connection.digest(digest, 1000)
    const waiting = connection.digest(digest, 50)
    await new Promise(resolve => setImmediate(resolve))
    const untilMs = performance.now() + 120
    while (performance.now() < untilMs);
    expect((await waiting).epoch).toBe('e')
  })
})

test('a port without a listener fails at once', async () => {
  const connection = new LedgerConnection('127.0.0.1:1')
  closes.push(() => connection.close())
  const startedAtMs = performance.now()
  await failureOf(connection.digest(digest, 2000))
  expect(performance.now() - startedAtMs).toBeLessThan(1000)
})

/// Passes bytes on until it is muted; connections opened after that are passed on again.
async function startMutingProxy (port: number): Promise<{ port: number, mute: () => void }> {
  const open: Socket[] = []
  const server = createServer(socket => {
    const onward = createConnection(port, '127.0.0.1')
    open.push(socket, onward)
    socket.pipe(onward).pipe(socket)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  closes.push(() => server.close(), () => { for (const socket of open) socket.destroy() })
  return {
    port: (server.address() as AddressInfo).port,
    mute: () => { for (const socket of open) socket.unpipe() }
  }
}

test('once all connections went silent, two calls that run out of time are enough to replace them', async () => {
  const server = new LedgerServer(halfDeaf)
  const proxy = await startMutingProxy(await server.listen('127.0.0.1:0'))
  const lanes = new LedgerConnectionPool(`127.0.0.1:${proxy.port}`)
  closes.push(() => server.close(), () => lanes.close())
  for (let i = 0; i < 4; i++) await lanes.digest(digest, 1000)
  proxy.mute()
  for (let i = 0; i < 2; i++) expect((await failureOf(lanes.digest(digest, 60))).isSilent).toBe(true)
  for (let i = 0; i < 4; i++) expect((await lanes.digest(digest, 1000)).epoch).toBe('e')
})
