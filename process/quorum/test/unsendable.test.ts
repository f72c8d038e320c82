import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { LedgerRecord } from '#connection/rpc'
import { RecordKind } from '#process/ledger'
import { Cluster } from './cluster.js'

// Guards against a failure of our own code that counts as a lost storage instance (review/10): a single record that
// can't be sent closes the storage for all calls of the entry.

const timeoutMs = 3000
/// Long before the timeout.
const soonMs = 500

let cluster: Cluster

beforeEach(async () => { cluster = await Cluster.start() })

afterEach(async () => {
  vi.restoreAllMocks()
  await cluster.close()
})

function createRecord (kind: number, id: string, fields: Partial<LedgerRecord> = {}): LedgerRecord {
  return { kind, id, programId: 'p', tokens: 10, previousId: '', input: Buffer.from('in'), output: Buffer.from('out'), recordedAtMs: Date.now(), retentionMs: 60_000, instanceId: '', ...fields }
}

const listNames = (): string[] => cluster.lines.map(([name]) => name)

test.each<[string, Partial<LedgerRecord>]>([
  ['a fraction of a token', { tokens: 2.5 }],
  ['too many tokens', { tokens: 2 ** 32 }],
  ['no number of tokens', { tokens: NaN }],
  ['a negative retention', { retentionMs: -1 }],
  ['more bytes than a message may have', { input: Buffer.alloc(33 * 1024 * 1024) }]
])('a record that can not be sent, with %s: it fails soon, and others are appended and found meanwhile', async (_, fields) => {
  const { quorum } = cluster
  const startedAtMs = performance.now()
  const failing = [
    quorum.append([createRecord(RecordKind.turn, 't0', fields)], timeoutMs),
    quorum.reserve(createRecord(RecordKind.reservation, 'r0', fields), timeoutMs)
  ].map(appended => expect(appended).rejects.toThrow('storage instances'))
  await quorum.append([createRecord(RecordKind.turn, 't1')], timeoutMs)
  expect((await quorum.findChain('t1', timeoutMs))?.length).toBe(1)
  await Promise.all(failing)
  expect(performance.now() - startedAtMs).toBeLessThan(soonMs)
  expect(quorum.isAvailable).toBe(true)
  expect(listNames()).not.toContain('member-lost')
  expect(listNames()).toContain('unexpected-error')
})

test('a storage instance that can not handle a request is not lost, says so, and is asked again', async () => {
  let failures = 0
  for (const ledger of cluster.ledgers) {
    const append = ledger.append.bind(ledger)
    vi.spyOn(ledger, 'append').mockImplementation(async request => {
      if (failures++ < 3) throw new Error('a bug')
      return await append(request)
    })
  }
  await cluster.quorum.append([createRecord(RecordKind.turn, 't1')], timeoutMs)
  expect(listNames()).not.toContain('member-lost')
  expect(cluster.lines.find(([name]) => name === 'request-rejected')?.[1]?.error).toContain('a bug')
})

test('a retention of any length is stored as it is', async () => {
  const { quorum } = cluster
  const retentions = [0, 1, 64_100, 2 ** 32, Number.MAX_SAFE_INTEGER]
  for (const [i, retentionMs] of retentions.entries()) {
    await quorum.append([createRecord(RecordKind.turn, `t${i}`, { retentionMs })], timeoutMs)
  }
  const stored = await Promise.all(retentions.map(async (_, i) => (await quorum.findChain(`t${i}`, timeoutMs))?.[0]?.retentionMs))
  expect(stored).toEqual(retentions)
})
