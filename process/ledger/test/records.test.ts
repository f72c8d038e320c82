import { expect, test } from 'vitest'
import { RecordKind, RecordIndex } from '#process/ledger'
import type { LedgerRecord } from '#connection/rpc'

const retentionMs = 10_000
// What clocks may differ by, as the records allow.
const slackMs = 15_000

function turn (id: string, previousId: string, recordedAtMs: number): LedgerRecord {
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

const chain = [turn('a', '', 0), turn('b', 'a', 20_000), turn('c', 'b', 40_000)]
const afterTwoMs = 46_000
const afterAllMs = 40_000 + retentionMs + slackMs + 1

// A copy from a peer, and a disk whose segments were rewritten, bring records in any order.
test.each([
  ['as they came', [0, 1, 2]],
  ['the latest first', [2, 1, 0]],
  ['the middle last', [0, 2, 1]],
  ['the first last', [1, 2, 0]]
])('turns added %s: the chain stays whole as long as its latest turn', (_, order) => {
  const records = new RecordIndex()
  for (const i of order) records.add(chain[i]!)
  records.expire(afterTwoMs)
  expect(records.chainOf('c')?.records.map(record => record.id)).toEqual(['a', 'b', 'c'])
  records.expire(afterAllMs)
  expect(records.count).toBe(0)
})
