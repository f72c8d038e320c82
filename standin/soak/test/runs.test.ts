import { afterEach, beforeEach, expect, test } from 'vitest'
import { StandinUpstream, UpstreamFault } from '#standin/upstream'
import { Observations } from '../src/observations.js'
import { observeRuns } from '../src/runs.js'

let upstream: StandinUpstream
let observations: Observations
let address: string

beforeEach(async () => {
  upstream = new StandinUpstream({ id: 'models-0', eventCount: 4, firstByteDelayMs: 20, eventIntervalMs: 20 })
  observations = new Observations()
  observeRuns(upstream, observations)
  address = await upstream.listen()
})

afterEach(() => upstream.close())

interface Case {
  readonly name: string
  /// The fault while the request is begun, and the one after its first bytes.
  readonly faults: readonly [UpstreamFault, UpstreamFault]
  /// Whether the one who called the instance leaves after the first bytes.
  readonly leaves: boolean
  readonly isBrokenOff: boolean
}

const { none, broken, responseLost, unframed, unframedReset } = UpstreamFault
const cases: readonly Case[] = [
  { name: 'without a fault', faults: [none, none], leaves: false, isBrokenOff: false },
  { name: 'with a response that is lost', faults: [responseLost, none], leaves: false, isBrokenOff: true },
  { name: 'reset in a response without a length', faults: [unframedReset, none], leaves: false, isBrokenOff: true },
  { name: 'broken off', faults: [broken, broken], leaves: false, isBrokenOff: true },
  { name: 'broken off by a fault that begins later', faults: [none, broken], leaves: false, isBrokenOff: true },
  { name: 'whole, as the fault is over before it strikes', faults: [broken, none], leaves: false, isBrokenOff: false },
  { name: 'whole, without a length', faults: [unframed, unframed], leaves: false, isBrokenOff: false },
  { name: 'left by the one who called, before the fault strikes', faults: [broken, broken], leaves: true, isBrokenOff: false },
  { name: 'left by the one who called, as a fault begins', faults: [none, broken], leaves: true, isBrokenOff: false }
]

test.each(cases)('a run $name: the instance broke off $isBrokenOff', async ({ faults, leaves, isBrokenOff }) => {
  upstream.fault = faults[0]
  const leaving = new AbortController()
  const headers = { 'attempt-id': 'a' }
  const response = await fetch(`http://${address}/chat/1`, { method: 'POST', headers, signal: leaving.signal }).catch(() => null)
  upstream.fault = faults[1]
  if (leaves) leaving.abort()
  await response?.text().catch(() => null)
  await expect.poll(() => observations.runs.get('a')?.[0]?.endedAtMs).not.toBe(Infinity)
  expect(observations.runs.get('a')).toMatchObject([{ instanceId: 'models-0', isBrokenOff }])
})
