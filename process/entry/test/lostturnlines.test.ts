import { afterEach, beforeEach, expect, test } from 'vitest'
import { RecordKind } from '#connection/rpc'
import type { LedgerRecord } from '#connection/rpc'
import { StandinUpstream } from '#standin/upstream'
import { EntryHarness } from './harness.js'
import type { RecordedEvent } from './recordinglog.js'

// Guards against a turn that was answered whole and can't be gone on from, without a line that names it.

const previousTurn: LedgerRecord = {
  kind: RecordKind.turn, id: 'a1', programId: 'p1', tokens: 2, previousId: '', input: Buffer.from('in'), output: Buffer.from('out'), recordedAtMs: Date.now(), retentionMs: 60_000, instanceId: ''
}
const fields = { 'program-id': 'p1', 'token-budget': '100000', 'token-usage': '400,100' }
const finalEvents = ['call-finished', 'call-refused', 'call-abandoned', 'answer-broken', 'answer-undelivered']

let engine: StandinUpstream
let entry: EntryHarness

beforeEach(async () => {
  engine = new StandinUpstream({ id: 'models-0', eventCount: 2, firstByteDelayMs: 0, eventIntervalMs: 0 })
  entry = new EntryHarness([{ id: 'models-0', address: await engine.listen() }])
  await entry.listen()
})

afterEach(async () => {
  engine.close()
  await entry.close()
})

async function goOn (): Promise<RecordedEvent> {
  await entry.call('/chat/1', { ...fields, 'attempt-id': 'a2', 'previous-turn': 'a1' }).catch(() => {})
  return await entry.log.waitFor('a2', finalEvents)
}

test.each<[string, () => Promise<unknown>, Partial<RecordedEvent['fields']>]>([
  ['it is absent', async () => {}, { refusal: 'unknown-turn' }],
  ['storage is unavailable', async () => { entry.ledger.isUnavailable = true }, { refusal: 'ledger-unavailable' }],
  ['the entry stops', async () => {
    entry.drain.graceMs = 0
    await entry.drain.start()
  }, { refusal: 'stopping' }],
  ['it is there', () => entry.ledger.append([previousTurn]), { status: 200, storedOn: ['disk-0', 'disk-1'], storedInView: 1 }]
])('a turn that goes on: %s', async (_, prepare, expected) => {
  await prepare()
  expect((await goOn()).fields).toMatchObject({ callId: 'a2', previousTurnId: 'a1', ...expected })
})
