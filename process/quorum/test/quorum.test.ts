import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { LedgerConnection, LedgerServer } from '#connection/rpc'
import type { LedgerRecord, View } from '#connection/rpc'
import { sleep } from '#process/clock'
import { Disk, Ledger, RecordKind } from '#process/ledger'
import { noopLog } from '#process/log'
import type { EventFields, EventKind } from '#process/log'
import { LedgerQuorum } from '#process/quorum'

const folders: string[] = []
const servers: LedgerServer[] = []
const ledgers: Ledger[] = []
let view: View
let quorum: LedgerQuorum

beforeEach(async () => {
  const members: View['members'] = []
  for (const name of ['a', 'b', 'c']) {
    const folder = await mkdtemp(join(tmpdir(), 'ledger-'))
    folders.push(folder)
    const { disk, contents } = Disk.open(folder, noopLog)
    const ledger = new Ledger(disk, contents)
    const server = new LedgerServer(ledger)
    ledgers.push(ledger)
    servers.push(server)
    const address = `127.0.0.1:${await server.listen('127.0.0.1:0')}`
    members.push({ name, diskId: disk.diskId, address, zone: name, state: 'serving', replacement: false, syncedView: 0 })
  }
  view = { version: 3, members, leaveVersion: 0 }
  quorum = new LedgerQuorum({ zone: 'a', toleratedLosses: 1, connect: address => new LedgerConnection(address), onStaleView: () => {} }, noopLog)
  quorum.adoptView(view, 'test')
})

afterEach(async () => {
  vi.useRealTimers()
  quorum.close()
  for (const server of servers.splice(0)) server.close()
  ledgers.splice(0)
  for (const folder of folders.splice(0)) await rm(folder, { recursive: true })
})

function createRecord (kind: number, id: string, fields: Partial<LedgerRecord> = {}): LedgerRecord {
  return { kind, id, programId: 'p', tokens: 10, previousId: '', input: Buffer.from('in'), output: Buffer.from('out'), recordedAtMs: Date.now(), retentionMs: 60_000, instanceId: '', ...fields }
}

test('a reservation resolves to the account of its program', async () => {
  const account = (await quorum.reserve(createRecord(RecordKind.reservation, 'r1'), 900)).entries
  expect(account).toEqual([{ id: 'r1', reserved: 10, spent: 0, settled: false }])
})

test('the account of a reservation is complete once all members have replied, and not while one is down', async () => {
  const account = await quorum.reserve(createRecord(RecordKind.reservation, 'r1'), 900)
  expect((await account.readComplete(500))?.map(entry => entry.id)).toEqual(['r1'])
  servers[0]!.close()
  const incomplete = await quorum.reserve(createRecord(RecordKind.reservation, 'r2'), 900)
  expect(incomplete.entries.map(entry => entry.id).sort()).toEqual(['r1', 'r2'])
  expect(await incomplete.readComplete(50)).toBeNull()
})

/// How many of the storage instances hold the turn.
function countHolders (id: string): number {
  return ledgers.filter(ledger => ledger.records.get(`${RecordKind.turn}/${id}`) !== undefined).length
}

// Guards against storage instances that are busy with records which they need not store at once.
// Time stands still for the entry: after 50 ms without enough replies, as on a busy machine, it sends a record to all.
test('a record is sent to as many storage instances as a quorum needs, the one in the own zone among them', async () => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'performance'] })
  for (let i = 0; i < 20; i++) await quorum.append([createRecord(RecordKind.turn, `t${i}`)], 900)
  expect(Array.from({ length: 20 }, (_, i) => countHolders(`t${i}`))).toEqual(Array(20).fill(2))
  expect(ledgers[0]!.records.count).toBe(20)
})

test('a storage instance that does not reply holds up an append no longer than another one needs', async () => {
  const silent = vi.spyOn(ledgers[0]!, 'append').mockReturnValue(new Promise(() => {}))
  const startedAtMs = performance.now()
  await quorum.append([createRecord(RecordKind.turn, 't1')], 900)
  expect(performance.now() - startedAtMs).toBeLessThan(200)
  expect([silent.mock.calls.length, countHolders('t1')]).toEqual([1, 2])
})

/// Lets each storage instance store the records `id` later than they arrive. Counts how often each one receives them.
function delayAppends (id: string, delayMs: number): number[] {
  const counts = ledgers.map(() => 0)
  for (const [index, ledger] of ledgers.entries()) {
    const append = ledger.append.bind(ledger)
    vi.spyOn(ledger, 'append').mockImplementation(async request => {
      if (request.records.some(record => record.id === id)) {
        counts[index]!++
        await sleep(delayMs)
      }
      return await append(request)
    })
  }
  return counts
}

// Guards against turns that are cut because the replies of storage instances with a slow disk come too late.
test('replies that come later than an instance is taken for silent still count, and show that it is up', async () => {
  delayAppends('t1', 700)
  await quorum.append([createRecord(RecordKind.turn, 't1')], 3000)
  expect(quorum.isAvailable).toBe(true)
})

test('a storage instance that is slow with a record, and replies to others, is sent the record once', async () => {
  const counts = delayAppends('t1', 1000)
  const slow = quorum.append([createRecord(RecordKind.turn, 't1')], 3000)
  for (let i = 0; i < 20; i++) {
    const other = await quorum.reserve(createRecord(RecordKind.reservation, `r${i}`), 900)
    await other.readComplete(900)
    await sleep(50)
  }
  await slow
  expect(counts).toEqual([1, 1, 1])
})

test('the complete account of a reservation is that of all storage instances', async () => {
  const others = new LedgerQuorum({ zone: 'b', toleratedLosses: 1, connect: address => new LedgerConnection(address), onStaleView: () => {} }, noopLog)
  others.adoptView(view, 'test')
  await others.reserve(createRecord(RecordKind.reservation, 'r1'), 900)
  const account = await quorum.reserve(createRecord(RecordKind.reservation, 'r2'), 900)
  expect((await account.readComplete(500))?.map(entry => entry.id).sort()).toEqual(['r1', 'r2'])
  expect(ledgers.map(ledger => ledger.records.getAccount('p').some(entry => entry.id === 'r2'))).toEqual([true, true, true])
  others.close()
})

test('a committed turn is found, a turn that was never appended is ruled out', async () => {
  await quorum.append([createRecord(RecordKind.turn, 't1')], 900)
  expect((await quorum.findChain('t1', 900))?.map(turn => turn.id)).toEqual(['t1'])
  expect(await quorum.findChain('t2', 900)).toBeNull()
})

// Guards against a 404 of which no line says which disks lack the turn.
test('a turn that is ruled out leaves a line with the disks that lack it, one that is stored tells its disks', async () => {
  const events: [string, EventFields | undefined][] = []
  const event = (kind: EventKind, fields?: EventFields): void => { events.push([kind.name, fields]) }
  const logging = new LedgerQuorum({ zone: 'a', toleratedLosses: 1, connect: address => new LedgerConnection(address), onStaleView: () => {} }, { event })
  logging.adoptView(view, 'test')
  const { diskIds, viewVersion } = await logging.append([createRecord(RecordKind.turn, 't1')], 900)
  await logging.findChain('t2', 900)
  logging.close()
  const holders = view.members.filter((_, i) => ledgers[i]!.records.get(`${RecordKind.turn}/t1`) !== undefined)
  expect([new Set(diskIds), viewVersion]).toEqual([new Set(holders.map(({ diskId }) => diskId)), 3])
  const ruledOut = ['turn-ruled-out', { turnId: 't2', absentOn: expect.any(Array), viewVersion: 3 }]
  expect(events.filter(([name]) => name === 'turn-ruled-out')).toEqual([ruledOut])
})

// Guards against LOST: right after a loss, each of the disks that are left holds another part of a chain.
test('a chain whose turns are on different storage instances is found', async () => {
  const [first, second] = [createRecord(RecordKind.turn, 't1'), createRecord(RecordKind.turn, 't2')]
  // Each was stored on the second one, too.
  await ledgers[0]!.persist([first])
  await ledgers[2]!.persist([{ ...second, previousId: 't1' }])
  servers[1]!.close()
  expect((await quorum.findChain('t2', 900))?.map(({ id }) => id)).toEqual(['t1', 't2'])
})

test('with one of three storage instances down, turns are committed, found and ruled out', async () => {
  servers[0]!.close()
  await quorum.append([createRecord(RecordKind.turn, 't1')], 900)
  expect((await quorum.findChain('t1', 900))?.map(turn => turn.id)).toEqual(['t1'])
  expect(await quorum.findChain('t2', 900)).toBeNull()
})

test('with two of three storage instances down, appends fail and no turn is ruled out', async () => {
  await quorum.append([createRecord(RecordKind.turn, 't1')], 900)
  servers[0]!.close()
  servers[1]!.close()
  await expect(quorum.append([createRecord(RecordKind.turn, 't2')], 300)).rejects.toThrow('storage instances')
  await expect(quorum.findChain('t3', 300)).rejects.toThrow('storage instances')
})

test('a view that lacks members is replaced by the newer one in the first reply', async () => {
  for (const server of servers.splice(0)) server.close()
  const members: View['members'] = []
  ledgers.splice(0)
  for (const name of ['a', 'b', 'c']) {
    const folder = await mkdtemp(join(tmpdir(), 'ledger-'))
    folders.push(folder)
    const { disk, contents } = Disk.open(folder, noopLog)
    const ledger = new Ledger(disk, contents)
    ledgers.push(ledger)
    const server = new LedgerServer(ledger)
    servers.push(server)
    const address = `127.0.0.1:${await server.listen('127.0.0.1:0')}`
    members.push({ name, diskId: disk.diskId, address, zone: name, state: 'serving', replacement: false, syncedView: 0 })
  }
  for (const ledger of ledgers) await ledger.adoptView({ version: 9, members, leaveVersion: 0 })
  const staleQuorum = new LedgerQuorum({ zone: 'a', toleratedLosses: 1, connect: address => new LedgerConnection(address), onStaleView: () => {} }, noopLog)
  staleQuorum.adoptView({ version: 8, members: members.slice(0, 1), leaveVersion: 0 }, 'test')
  await staleQuorum.append([createRecord(RecordKind.turn, 't1')], 900)
  expect(ledgers.filter(ledger => ledger.records.count === 1).length).toBeGreaterThan(1)
  staleQuorum.close()
})

// Guards against a new disk that is asked before it has copied, and counts because it serves when the others reply.
describe('a disk that serves only after it has replied', () => {
  const replyDelayMs = 60
  let servingView: View
  let records: LedgerRecord[]

  function delay (index: number, method: 'append' | 'findChain', delayMs: number): void {
    const ledger = ledgers[index]!
    const handle = ledger[method].bind(ledger) as (request: unknown) => Promise<never>
    vi.spyOn(ledger, method).mockImplementation(async (request: unknown) => {
      await sleep(delayMs)
      return await handle(request)
    })
  }

  beforeEach(async () => {
    const members = view.members.map((member, i) => i === 2 ? { ...member, state: 'joining', replacement: true } : member)
    quorum.adoptView({ ...view, version: 4, members }, 'test')
    servingView = { ...view, version: 5 }
    records = [createRecord(RecordKind.turn, 't1', { programId: 'q' }), createRecord(RecordKind.reservation, 'r1')]
    await ledgers[1]!.persist(records)
    for (const method of ['append', 'findChain'] as const) {
      delay(0, method, 2 * replyDelayMs)
      delay(1, method, 3 * replyDelayMs)
    }
  })

  test.each<[string, () => Promise<string[] | undefined>, string]>([
    ['does not rule out a turn', async () => (await quorum.findChain('t1', 900))?.map(turn => turn.id), 't1'],
    ['does not complete an account', async () => (await quorum.readAccount('p', 900)).map(entry => entry.id), 'r1']
  ])('%s', async (_, read, id) => {
    const found = read()
    await sleep(replyDelayMs * 1.5)
    await ledgers[2]!.persist(records)
    quorum.adoptView(servingView, 'test')
    expect(await found).toEqual([id])
  })
})

// Guards against a disk that has copied a turn since it was asked, and whose old reply rules it out in a smaller view.
test('what a disk lacked under an older view does not rule out a turn', async () => {
  const records = [createRecord(RecordKind.turn, 't1')]
  await ledgers[1]!.persist(records)
  vi.spyOn(ledgers[1]!, 'findChain').mockReturnValue(new Promise(() => {}))
  const findAtLast = ledgers[2]!.findChain.bind(ledgers[2]!)
  vi.spyOn(ledgers[2]!, 'findChain').mockImplementation(async request => await sleep(120).then(() => findAtLast(request)))
  const found = quorum.findChain('t1', 900)
  await sleep(80)
  await ledgers[0]!.persist(records)
  quorum.adoptView({ ...view, version: 4, members: view.members.slice(0, 2) }, 'test')
  expect((await found)?.map(turn => turn.id)).toEqual(['t1'])
})

test('a view with too few members is reported as stale without any request', async () => {
  let staleReports = 0
  const staleQuorum = new LedgerQuorum({
    zone: 'a', toleratedLosses: 1, connect: address => new LedgerConnection(address), onStaleView: () => { staleReports++ }
  }, noopLog)
  staleQuorum.adoptView({ ...view, members: view.members.slice(0, 1) }, 'test')
  expect(staleQuorum.isAvailable).toBe(false)
  await new Promise(resolve => setTimeout(resolve, 500))
  expect(staleReports).toBeGreaterThan(0)
  staleQuorum.close()
})

test('records that are appended soon share one append, and are committed', async () => {
  const append = vi.spyOn(quorum, 'append')
  const ids = ['r1', 'r2', 'r3']
  await Promise.all(ids.map(id => quorum.appendSoon(createRecord(RecordKind.settlement, id, { tokens: 7 }))))
  expect(append).toHaveBeenCalledTimes(1)
  const account = await quorum.readAccount('p', 900)
  expect(account.map(entry => [entry.id, entry.spent]).sort()).toEqual(ids.map(id => [id, 7]))
})

test('flush waits for records that are appended soon', async () => {
  let isCommitted = false
  quorum.appendSoon(createRecord(RecordKind.settlement, 'r1')).then(() => { isCommitted = true }, () => {})
  await quorum.flush()
  expect(isCommitted).toBe(true)
})
