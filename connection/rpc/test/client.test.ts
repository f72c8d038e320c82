import { afterEach, expect, test } from 'vitest'
import { LedgerConnection, LedgerServer, PeerError } from '#connection/rpc'
import type { LedgerHandler, Standing } from '#connection/rpc'

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

async function connect (handler: LedgerHandler): Promise<LedgerConnection> {
  const server = new LedgerServer(handler)
  const connection = new LedgerConnection(`127.0.0.1:${await server.listen('127.0.0.1:0')}`)
  closes.push(() => server.close(), () => connection.close())
  return connection
}

async function failureOf (work: Promise<unknown>): Promise<PeerError> {
  return await work.then(() => { throw new Error('it was answered') }, (error: PeerError) => error)
}

afterEach(() => {
  for (const close of closes.splice(0)) close()
})

test('a peer that answers other requests meanwhile is slow, not silent', async () => {
  const connection = await connect(halfDeaf)
  const waiting = failureOf(connection.append(append, 150))
  await connection.digest(digest, 1000)
  const failure = await waiting
  expect([failure.name, failure.isSilent]).toEqual(['PeerError', false])
})

test('a peer that answers nothing is silent, and is asked over a new connection', async () => {
  const connection = await connect(halfDeaf)
  for (let i = 0; i < 2; i++) expect((await failureOf(connection.append(append, 60))).isSilent).toBe(true)
  expect((await connection.digest(digest, 1000)).epoch).toBe('e')
})

test('answers that arrived while the loop stood still count as in time', async () => {
  const connection = await connect(halfDeaf)
  await connection.digest(digest, 1000)
  const waiting = connection.digest(digest, 50)
  await new Promise(resolve => setImmediate(resolve))
  const untilMs = performance.now() + 120
  while (performance.now() < untilMs);
  expect((await waiting).epoch).toBe('e')
})

test('a port without a listener fails at once', async () => {
  const connection = new LedgerConnection('127.0.0.1:1')
  closes.push(() => connection.close())
  const startedAtMs = performance.now()
  await failureOf(connection.digest(digest, 2000))
  expect(performance.now() - startedAtMs).toBeLessThan(1000)
})
