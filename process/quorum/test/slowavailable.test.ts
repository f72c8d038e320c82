import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { LedgerConnection, LedgerServer } from '#connection/rpc'
import type { LedgerRecord, View } from '#connection/rpc'
import { sleep } from '#process/clock'
import { Disk, Ledger, RecordKind } from '#process/ledger'
import { noopLog } from '#process/log'
import { LedgerQuorum } from '#process/quorum'

/// Of a disk that is slow to sync, each time.
const syncMs = 700
const appendTimeoutMs = 3000
const laterMs = [100, 300, 450, 500, 550, 650]

const folders: string[] = []
const servers: LedgerServer[] = []
let quorum: LedgerQuorum

beforeEach(async () => {
  const members: View['members'] = []
  for (const name of ['a', 'b', 'c']) {
    const folder = await mkdtemp(join(tmpdir(), 'ledger-'))
    folders.push(folder)
    const { disk, contents } = Disk.open(folder, noopLog)
    const ledger = new Ledger(disk, contents)
    const append = ledger.append.bind(ledger)
    vi.spyOn(ledger, 'append').mockImplementation(async request => {
      await sleep(syncMs)
      return await append(request)
    })
    const server = new LedgerServer(ledger)
    servers.push(server)
    const address = `127.0.0.1:${await server.listen('127.0.0.1:0')}`
    members.push({ name, diskId: disk.diskId, address, zone: name, state: 'serving', replacement: false, syncedView: 0 })
  }
  quorum = new LedgerQuorum({ zone: 'a', toleratedLosses: 1, connect: address => new LedgerConnection(address), onStaleView: () => {} }, noopLog)
  quorum.adoptView({ version: 3, members, leaveVersion: 0 }, 'test')
})

afterEach(async () => {
  quorum.close()
  for (const server of servers.splice(0)) server.close()
  for (const folder of folders.splice(0)) await rm(folder, { recursive: true })
})

function createRecord (kind: number, id: string): LedgerRecord {
  return { kind, id, programId: id, tokens: 10, previousId: '', input: Buffer.from('in'), output: Buffer.from('out'), recordedAtMs: Date.now(), retentionMs: 60_000, instanceId: '' }
}

// Guards against turns that are refused at once, as storage instances with slow disks count as down.
test('all storage instances sync slowly: reservations that are made meanwhile are committed', async () => {
  const appended = quorum.append([createRecord(RecordKind.turn, 't1')], appendTimeoutMs)
  const reserved = laterMs.map(async delayMs => {
    await sleep(delayMs)
    return await quorum.reserve(createRecord(RecordKind.reservation, `r${delayMs}`), appendTimeoutMs).then(() => 'committed', String)
  })
  await appended
  expect(await Promise.all(reserved)).toEqual(laterMs.map(() => 'committed'))
})
