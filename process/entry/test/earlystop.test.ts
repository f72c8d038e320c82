import { afterEach, beforeEach, expect, test } from 'vitest'
import { PlatformStore, parseConfiguration, parseInstance, platformHeaders } from '#platform'
import { sleep } from '#process/clock'
import { Entry } from '#process/entry'
import { noopLog } from '#process/log'
import { Metrics } from '#process/metrics'
import { StandinStore } from '#standin/store'
import { findFreePorts } from '#standin/system'
import { open } from './rawcaller.js'

// Guards against a stop that finds its entry half started.

const stopGraceMs = 800
const idleLoop = { currentDelayMs: 0, meanDelayMs: 0 }
let store: StandinStore
let entry: Entry
let addresses: string[]

beforeEach(async () => {
  store = new StandinStore()
  const storeAddress = await store.listen()
  addresses = (await findFreePorts(3)).map(port => `127.0.0.1:${port}`)
  const [callersAddress, relayAddress, readinessAddress] = addresses as [string, string, string]
  entry = new Entry({
    name: 'entry-0',
    zone: 'north',
    processors: 1,
    memoryMb: null,
    callersAddress,
    relayAddress,
    readinessAddress,
    readinessPath: '/readyz',
    toleratedLosses: 1,
    stopGraceMs
  }, {
    headers: platformHeaders,
    store: new PlatformStore(storeAddress, noopLog, new Metrics()),
    parseConfiguration,
    parseInstance
  }, noopLog, new Metrics(), idleLoop)
})

afterEach(() => store.close())

const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve))

async function turns (count: number): Promise<void> {
  for (let i = 0; i < count; i++) await nextTurn()
}

test.each<[string, () => Promise<unknown>[]]>([
  ['before its start', () => [entry.stop(), entry.start()]],
  ['long before its start', () => [entry.stop(), sleep(stopGraceMs).then(() => entry.start())]],
  ['as it starts', () => [entry.start(), entry.stop()]],
  ['a moment after its start began', () => [entry.start(), turns(1).then(() => entry.stop())]],
  ['a few moments after its start began', () => [entry.start(), turns(4).then(() => entry.stop())]],
  ['twice', () => [entry.start(), entry.stop(), entry.stop()]],
  ['again, later', () => [entry.start().then(() => entry.stop()).then(() => entry.stop())]]
])('an entry that is stopped %s ends in its grace time, and leaves nothing open', async (_, run) => {
  const beganAtMs = performance.now()
  await Promise.all(run())
  expect(performance.now() - beganAtMs).toBeLessThan(2 * stopGraceMs)
  for (const address of addresses) await expect(open(address)).rejects.toThrow('ECONNREFUSED')
})
