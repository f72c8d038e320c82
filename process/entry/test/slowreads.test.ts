import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { RecordKind } from '#connection/rpc'
import type { LedgerRecord } from '#connection/rpc'
import { StandinUpstream } from '#standin/upstream'
import { EntryHarness } from './harness.js'
import { callRaw, open } from './rawcaller.js'

// Guards against turns that are refused although their callers wait for longer than the storage needs.

const neededMs = 1600
const previousTurn: LedgerRecord = {
  kind: RecordKind.turn, id: 'a1', programId: 'p1', tokens: 2, previousId: '', input: Buffer.from('in'), output: Buffer.from('out'), recordedAtMs: Date.now(), retentionMs: 60_000, instanceId: ''
}
const fields = 'deadline-ms: 4000\r\nconnection: close\r\nprogram-id: p1\r\ntoken-budget: 100000\r\ntoken-usage: 400,100\r\n'

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

async function callTurn (id: string, more = ''): Promise<string> {
  return await callRaw(await open(entry.address), '/chat/1', id, fields + more)
}

test.each<['reserve' | 'findChain']>([['reserve'], ['findChain']])('%s takes 1600 ms of the 4000 ms that the caller waits: the turn is served', async name => {
  await entry.ledger.append([previousTurn])
  const original = entry.ledger[name].bind(entry.ledger) as (subject: unknown) => Promise<never>
  vi.spyOn(entry.ledger, name).mockImplementation(async (...[subject, timeoutMs]: [unknown, number?]) => {
    if (timeoutMs! < neededMs) throw new Error('too few replies in time')
    return await original(subject)
  })
  const previous = name === 'findChain' ? `previous-turn: ${previousTurn.id}\r\n` : ''
  expect(await callTurn('a2', previous)).toMatch(/^HTTP\/1\.1 200 /)
})
