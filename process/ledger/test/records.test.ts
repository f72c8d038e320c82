import { expect, test } from 'vitest'
import { RecordKind, RecordIndex } from '#process/ledger'
import type { LedgerRecord } from '#connection/rpc'

const retentionMs = 10_000
// The margin that the index adds to a record's retention.
const marginMs = 15_000

function createTurn (id: string, previousId: string, recordedAtMs: number): LedgerRecord {
  return {
    kind: RecordKind.turn,
    id,
    previousId,
    programId: 'p',
    tokens: 1,
    input: Buffer.from(id),
    output: Buffer.from('o'),
    recordedAtMs,
    retentionMs,
    instanceId: ''
  }
}

const chain = [createTurn('a', '', 0), createTurn('b', 'a', 20_000), createTurn('c', 'b', 40_000)]
const afterFirstTwoExpireMs = 46_000
const afterAllExpireMs = 40_000 + retentionMs + marginMs + 1

// Records arrive in any order when they are copied from a peer, or read from a disk after a compaction.
test.each([
  ['in order', [0, 1, 2]],
  ['latest first', [2, 1, 0]],
  ['middle one last', [0, 2, 1]],
  ['first one last', [1, 2, 0]]
])('turns added %s: the chain stays complete until its latest turn expires', (_, order) => {
  const records = new RecordIndex()
  for (const i of order) records.add(chain[i]!)
  records.expire(afterFirstTwoExpireMs)
  expect(records.getChain('c')?.records.map(record => record.id)).toEqual(['a', 'b', 'c'])
  records.expire(afterAllExpireMs)
  expect(records.count).toBe(0)
})
