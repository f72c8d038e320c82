import { describe, expect, it } from 'vitest'
import { LogRecord, ProgramOpened } from '#connection/wire'
import { ProgramTree } from '#request/program'

const rootId = 'AAAAAAAAAAAAAAAAAAAA'
const position = { logId: 'a/1', segment: 7 }

function record (programId: string, body: LogRecord['body']): LogRecord {
  return LogRecord.fromPartial({ programId, atMs: 5, body })
}

function after (...records: LogRecord[]): ProgramTree {
  return records.reduce((tree, next) => tree.apply(next, position), ProgramTree.empty(rootId))
}

const opened = LogRecord.fromPartial({
  programId: rootId,
  body: { $case: 'opened', value: { team: 'vanua', budgetMicros: 1000, reservedMicros: 300 } }
})

const answered = LogRecord.fromPartial({
  programId: rootId,
  body: {
    $case: 'settled',
    value: {
      sequence: 1,
      spec: { kind: 'model', messages: [{ role: 'user', content: 'hi' }] },
      outcome: { answer: { text: 'hello', engineMs: 9 } },
      releasedMicros: 300,
      spentMicros: 120,
      reservedMicros: 200,
      sidecarId: 's1',
      sidecarIncarnation: 'x'
    }
  }
})

const intended = LogRecord.fromPartial({
  programId: rootId,
  body: { $case: 'intended', value: { sequence: 2, attemptId: 'a', reservedMicros: 50 } }
})

function settledIntent (verdict: string): LogRecord {
  return LogRecord.fromPartial({
    programId: rootId,
    body: {
      $case: 'settled',
      value: { sequence: 2, outcome: { refusal: { verdict, code: 'abandoned' } }, releasedMicros: 50 }
    }
  })
}

describe('ProgramTree', () => {
  const cases = [
    { name: 'opening reserves for the first turn', records: [opened], available: 700, next: 1 },
    { name: 'an answer is spent and the next turn reserved', records: [opened, answered], available: 680, next: 2 },
    { name: 'an intent has a reservation of its own', records: [opened, answered, intended], available: 630, next: 2 },
    {
      name: 'a call proved not run frees its number',
      records: [opened, answered, intended, settledIntent('not-run')],
      available: 680,
      next: 2
    },
    {
      name: 'a call that may have run uses its number up',
      records: [opened, answered, intended, settledIntent('may-have-run')],
      available: 680,
      next: 3
    }
  ]
  it.each(cases)('$name', ({ records, available, next }) => {
    const tree = after(...records)
    expect(tree.availableMicros).toBe(available)
    expect(tree.root?.nextSequence).toBe(next)
  })

  it('keeps an ended program until its cache holders have released it', () => {
    const ended = record(rootId, { $case: 'ended', value: { reason: 'caller' } })
    const released = record(rootId, { $case: 'released', value: { sidecarId: 's1' } })
    expect(after(opened, answered, ended).root?.status).toBe('releasing')
    expect(after(opened, answered, ended, released).root?.status).toBe('ended')
  })

  it('charges a sub-agent to its root', () => {
    const child = record(`${rootId}.1`, {
      $case: 'opened',
      value: ProgramOpened.fromPartial({ team: 'vanua', parentId: rootId, reservedMicros: 100 })
    })
    const tree = after(opened, child)
    expect(tree.availableMicros).toBe(600)
    expect(tree.root?.children).toBe(1)
  })
})
