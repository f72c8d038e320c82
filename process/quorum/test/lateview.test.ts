import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { LedgerConnection, LedgerServer } from '#connection/rpc'
import type { LedgerRecord, View } from '#connection/rpc'
import { sleep } from '#process/clock'
import { Disk, Ledger, RecordKind } from '#process/ledger'
import { noopLog } from '#process/log'
import { LedgerQuorum } from '#process/quorum'

const appendTimeoutMs = 3000
/// Until the members that are up have replied.
const repliesMs = 300

const folders: string[] = []
const servers: LedgerServer[] = []
let view: View
let quorum: LedgerQuorum

beforeEach(async () => {
  const members: View['members'] = []
  for (const name of ['a', 'b', 'c']) {
    const folder = await mkdtemp(join(tmpdir(), 'ledger-'))
    folders.push(folder)
    const { disk, contents } = Disk.open(folder, noopLog)
    const server = new LedgerServer(new Ledger(disk, contents))
    servers.push(server)
    const address = `127.0.0.1:${await server.listen('127.0.0.1:0')}`
    members.push({ name, diskId: disk.diskId, address, zone: name, state: 'serving', replacement: false, syncedView: 0 })
  }
  view = { version: 3, members, leaveVersion: 0 }
  quorum = new LedgerQuorum({ zone: 'a', toleratedLosses: 1, connect: address => new LedgerConnection(address), onStaleView: () => {} }, noopLog)
})

afterEach(async () => {
  quorum.close()
  for (const server of servers.splice(0)) server.close()
  for (const folder of folders.splice(0)) await rm(folder, { recursive: true })
})

function createTurn (id: string): LedgerRecord {
  return { kind: RecordKind.turn, id, programId: 'p', tokens: 10, previousId: '', input: Buffer.from('in'), output: Buffer.from('out'), recordedAtMs: Date.now(), retentionMs: 60_000, instanceId: '' }
}

function withState (index: number, state: string, version: number): View {
  return { ...view, version, members: view.members.map((member, i) => i === index ? { ...member, state } : member) }
}

// Guards against turns that are cut at their deadlines although enough members have stored them.
test('an append counts by a view that is adopted after all members that are up have replied', async () => {
  servers[2]!.close()
  quorum.adoptView(withState(1, 'admitted', 4), 'test')
  const startedAtMs = performance.now()
  const appended = quorum.append([createTurn('t1')], appendTimeoutMs)
  await sleep(repliesMs)
  quorum.adoptView(withState(1, 'serving', 5), 'test')
  await appended
  expect(performance.now() - startedAtMs).toBeLessThan(appendTimeoutMs / 2)
})
