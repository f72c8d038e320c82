import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { LedgerConnection, LedgerServer } from '#connection/rpc'
import type { LedgerRecord, View } from '#connection/rpc'
import { Disk, Ledger, RecordKind } from '#process/ledger'
import { noopLog } from '#process/log'
import type { EventFields, EventKind } from '#process/log'
import { LedgerQuorum } from '#process/quorum'

// Guards against a failure of our own code that counts as a lost storage instance (review/10): a single record that
// can't be sent closes the storage for all calls of the entry.

const timeoutMs = 3000
/// Long before the timeout.
const soonMs = 500

let folder: string
let ledgers: Ledger[]
let servers: LedgerServer[]
let quorum: LedgerQuorum
let lines: [string, EventFields | undefined][]

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'ledger-'))
  ledgers = []
  servers = []
  lines = []
  const members: View['members'] = []
  for (const name of ['a', 'b', 'c']) {
    const { disk, contents } = Disk.open(join(folder, name), noopLog)
    const ledger = new Ledger(disk, contents)
    const server = new LedgerServer(ledger)
    const address = `127.0.0.1:${await server.listen('127.0.0.1:0')}`
    members.push({ name, diskId: disk.diskId, address, zone: name, state: 'serving', replacement: false, syncedView: 0 })
    ledgers.push(ledger)
    servers.push(server)
  }
  const log = { event: ({ name }: EventKind, fields?: EventFields) => { lines.push([name, fields]) } }
  quorum = new LedgerQuorum({ zone: 'a', toleratedLosses: 1, connect: address => new LedgerConnection(address), onStaleView: () => {} }, log)
  quorum.adoptView({ version: 3, members, leaveVersion: 0 }, 'test')
})

afterEach(async () => {
  vi.restoreAllMocks()
  quorum.close()
  for (const server of servers) server.close()
  await rm(folder, { recursive: true })
})

function createRecord (kind: number, id: string, fields: Partial<LedgerRecord> = {}): LedgerRecord {
  return { kind, id, programId: 'p', tokens: 10, previousId: '', input: Buffer.from('in'), output: Buffer.from('out'), recordedAtMs: Date.now(), retentionMs: 60_000, instanceId: '', ...fields }
}

const listNames = (): string[] => lines.map(([name]) => name)

test.each<[string, Partial<LedgerRecord>]>([
  ['a fraction of a token', { tokens: 2.5 }],
  ['too many tokens', { tokens: 2 ** 32 }],
  ['no number of tokens', { tokens: NaN }],
  ['a negative retention', { retentionMs: -1 }],
  ['more bytes than a message may have', { input: Buffer.alloc(33 * 1024 * 1024) }]
])('a record that can not be sent, with %s: it fails soon, and others are appended and found meanwhile', async (_, fields) => {
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
  for (const ledger of ledgers) {
    const append = ledger.append.bind(ledger)
    vi.spyOn(ledger, 'append').mockImplementation(async request => {
      if (failures++ < 3) throw new Error('a bug')
      return await append(request)
    })
  }
  await quorum.append([createRecord(RecordKind.turn, 't1')], timeoutMs)
  expect(listNames()).not.toContain('member-lost')
  expect(lines.find(([name]) => name === 'request-rejected')?.[1]?.error).toContain('a bug')
})

test('a retention of any length is stored as it is', async () => {
  const retentions = [0, 1, 64_100, 2 ** 32, Number.MAX_SAFE_INTEGER]
  for (const [i, retentionMs] of retentions.entries()) {
    await quorum.append([createRecord(RecordKind.turn, `t${i}`, { retentionMs })], timeoutMs)
  }
  const stored = await Promise.all(retentions.map(async (_, i) => (await quorum.findChain(`t${i}`, timeoutMs))?.[0]?.retentionMs))
  expect(stored).toEqual(retentions)
})
