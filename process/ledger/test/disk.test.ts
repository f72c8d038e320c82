import { appendFileSync, mkdtempSync, readdirSync, rmSync, statSync, truncateSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import type { LedgerRecord } from '#connection/rpc'
import { Disk, Ledger, RecordKind, RecordIndex, encodeFrame, decodeFrames } from '#process/ledger'
import { noopLog } from '#process/log'

let folder = ''

beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'ledger-')) })
afterEach(() => rmSync(folder, { recursive: true }))

function record (kind: number, id: string, fields: Partial<LedgerRecord> = {}): LedgerRecord {
  return { kind, id, programId: 'p', tokens: 5, previousId: '', input: Buffer.from('in'), output: Buffer.from('out'), recordedAtMs: 1000, retentionMs: 60_000, instanceId: '', ...fields }
}

function reopen (): Ledger {
  const { disk, contents } = Disk.open(folder, noopLog)
  return new Ledger(disk, contents)
}

function newestSegment (): string {
  const names = readdirSync(folder).filter(name => name.startsWith('segment-')).sort()
  return join(folder, names[names.length - 1]!)
}

test('what was acknowledged is there after a restart, under the same disk', async () => {
  const first = reopen()
  await first.persist([record(RecordKind.turn, 't1'), record(RecordKind.turn, 't2', { previousId: 't1' })])
  const second = reopen()
  expect(second.diskId).toBe(first.diskId)
  expect(second.records.chainOf('t2')?.records.map(turn => turn.id)).toEqual(['t1', 't2'])
})

test.each([
  ['a tail that is cut off', (path: string) => truncateSync(path, statSync(path).size - 3)],
  ['garbage behind the records', (path: string) => appendFileSync(path, Buffer.from([9, 0, 0, 0, 1, 2, 3, 4, 5]))],
  ['zeros behind the records', (path: string) => appendFileSync(path, Buffer.alloc(4096))]
])('%s costs at most the last record, and later ones are kept', async (_, damage) => {
  const first = reopen()
  await first.persist([record(RecordKind.turn, 't1')])
  await first.persist([record(RecordKind.turn, 't2')])
  damage(newestSegment())
  const second = reopen()
  expect(second.records.chainOf('t1')).not.toBeNull()
  await second.persist([record(RecordKind.turn, 't3')])
  expect(reopen().records.chainOf('t3')).not.toBeNull()
})

test('a wiped folder is another disk, and says so', async () => {
  const { diskId } = reopen()
  rmSync(folder, { recursive: true })
  const { disk, contents } = Disk.open(folder, noopLog)
  expect(disk.diskId).not.toBe(diskId)
  expect(contents.wasEmpty).toBe(true)
})

test('a repeated append changes nothing and waits for the first one', async () => {
  const ledger = reopen()
  const turn = record(RecordKind.turn, 't1')
  await Promise.all([ledger.persist([turn]), ledger.persist([turn])])
  expect(ledger.records.count).toBe(1)
})

test('a frame with a wrong checksum ends what is read', () => {
  const bytes = Buffer.concat([...encodeFrame(record(RecordKind.turn, 'a')), ...encodeFrame(record(RecordKind.turn, 'b'))])
  const whole = decodeFrames(bytes)
  expect(whole.records.map(turn => turn.id)).toEqual(['a', 'b'])
  bytes[bytes.length - 1]! ^= 1
  expect(decodeFrames(bytes).records.map(turn => turn.id)).toEqual(['a'])
})

test('a turn keeps its chain; what nobody continues is forgotten', () => {
  const records = new RecordIndex()
  records.add(record(RecordKind.turn, 'a'))
  records.add(record(RecordKind.turn, 'lonely'))
  records.add(record(RecordKind.turn, 'b', { previousId: 'a', recordedAtMs: 50_000 }))
  records.expire(1000 + 60_000 + 15_001)
  expect(records.chainOf('b')?.records.map(turn => turn.id)).toEqual(['a', 'b'])
  expect(records.chainOf('lonely')).toBeNull()
  records.expire(50_000 + 60_000 + 15_001)
  expect(records.count).toBe(0)
  expect(records.accountOf('p')).toEqual([])
})

test('an account joins reservations, settlements and turns', () => {
  const records = new RecordIndex()
  records.add(record(RecordKind.reservation, 'r1', { tokens: 100 }))
  records.add(record(RecordKind.reservation, 'r2', { tokens: 100 }))
  records.add(record(RecordKind.settlement, 'r1', { tokens: 30 }))
  expect(records.accountOf('p')).toEqual([
    { id: 'r1', reserved: 100, spent: 30, settled: true },
    { id: 'r2', reserved: 100, spent: 0, settled: false }
  ])
})
