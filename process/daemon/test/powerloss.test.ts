import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, afterEach, beforeAll, expect, test } from 'vitest'
import { LedgerConnection } from '#connection/rpc'
import type { LedgerRecord } from '#connection/rpc'
import { sleep } from '#process/clock'
import { RecordKind } from '#process/ledger'
import { noopLog } from '#process/log'
import { parseView } from '#process/membership'
import { LedgerQuorum, QuorumError } from '#process/quorum'
import { losePower, PowerLoss } from '#standin/machine'
import { StoreFault } from '#standin/store'
import { StandinSystem, buildDaemon, buildMachine } from '#standin/system'
import type { SystemNode } from '#standin/system'
import { Random } from '../../../standin/soak/src/random.js'

const firstSeed = Number(process.env.POWER_SEED ?? 20261206)
const seedCount = Number(process.env.POWER_SEEDS ?? 1)
const rounds = Number(process.env.POWER_ROUNDS ?? 2)
const writerCount = 8
const appendTimeoutMs = 1500
const maxTrafficMs = 1200
const recoveryMs = 12_000
const catchUpMs = 4900
const storeOutageMs = 1500
const viewIntervalMs = 100
const retirementShare = 0.5

let folder: string
let command: readonly string[]
let system: StandinSystem | null = null
let cluster: Client | null = null

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'chicorynotch-bundle-'))
  const [, bundle] = await buildDaemon(folder)
  command = await buildMachine(folder, bundle!)
}, 30_000)

afterEach(async () => {
  cluster?.close()
  await system?.stop()
})

afterAll(() => rm(folder, { recursive: true, force: true }))

/// Appends turns to the storage instances, as entries do, and looks for those that were committed.
class Client {
  readonly committedIds: string[] = []
  private readonly quorum: LedgerQuorum
  private readonly viewTimer: ReturnType<typeof setInterval>
  private turnCount = 0
  private isWriting = false

  constructor (private readonly target: StandinSystem) {
    const onStaleView = (): void => this.readView()
    const connect = (address: string): LedgerConnection => new LedgerConnection(address)
    this.quorum = new LedgerQuorum({ zone: 'north', toleratedLosses: 1, connect, onStaleView }, noopLog)
    this.viewTimer = setInterval(() => this.readView(), viewIntervalMs)
    this.readView()
  }

  /// Appends turns until `stop` is called.
  async write (): Promise<void> {
    this.isWriting = true
    await Promise.all(Array.from({ length: writerCount }, async () => {
      while (this.isWriting) await this.append().catch(() => sleep(10))
    }))
  }

  stop (): void {
    this.isWriting = false
  }

  /// Ids of committed turns that are denied, and of those that are neither found nor denied until the deadline.
  async findMissing (deadlineMs: number): Promise<{ denied: string[], unknown: string[] }> {
    const denied: string[] = []
    const unknown: string[] = []
    for (const id of this.committedIds) {
      const isFound = await this.isFound(id, deadlineMs)
      if (isFound === false) denied.push(id)
      if (isFound === null) unknown.push(id)
    }
    return { denied, unknown }
  }

  close (): void {
    clearInterval(this.viewTimer)
    this.quorum.close()
  }

  private async append (): Promise<void> {
    const id = `t${++this.turnCount}`
    const turn: LedgerRecord = {
      kind: RecordKind.turn,
      id,
      programId: id,
      tokens: 1,
      previousId: '',
      input: Buffer.alloc(2000, id),
      output: Buffer.from('o'),
      recordedAtMs: Date.now(),
      retentionMs: 600_000,
      instanceId: ''
    }
    await this.quorum.append([turn], appendTimeoutMs)
    this.committedIds.push(id)
  }

  /// Null if nobody knew until the deadline.
  private async isFound (id: string, deadlineMs: number): Promise<boolean | null> {
    for (;;) {
      try {
        return await this.quorum.findChain(id, appendTimeoutMs) !== null
      } catch (error) {
        if (!(error instanceof QuorumError)) throw error
        if (performance.now() > deadlineMs) return null
        await sleep(50)
      }
    }
  }

  private readView (): void {
    const object = this.target.store.get('chicorynotch-storage-views', 'current')
    if (object !== undefined) this.quorum.adoptView(parseView(object.spec), 'store')
  }
}

/// All storage instances end at one moment while turns are written, one loses its disk and the others their power.
async function loseAllPower (target: StandinSystem, random: Random): Promise<void> {
  const { storages } = target
  const diskLoser = random.pick([...storages, null])
  const ended = storages.map(endOf)
  for (const { process } of storages) process.kill('SIGKILL')
  await Promise.all(ended)
  if (random.next() < 0.5) {
    target.store.fault = StoreFault.busy
    setTimeout(() => { target.store.fault = StoreFault.none }, storeOutageMs)
  }
  for (const storage of storages) {
    if (storage !== diskLoser) losePower(storage.dataDir, random.pick(Object.values(PowerLoss)), () => random.next())
    await target.startAgain(storage, storage === diskLoser)
  }
}

function endOf ({ process }: SystemNode): Promise<unknown> {
  return new Promise(resolve => { process.once('exit', resolve) })
}

async function retireOne (target: StandinSystem, random: Random): Promise<void> {
  const retired = random.pick(target.storages)
  await target.addStorage()
  target.store.put('retirements', retired.name, { finish_by_s: 8 })
}

const seeds = Array.from({ length: seedCount }, (_, i) => firstSeed + i)

// Guards against LOST: turns that were answered whole and are denied, or not found in time, after all have lost power.
test.each(seeds)('all storage instances lose power, at times one its disk or beside a retirement: each committed turn is found (seed %i)', async seed => {
  const random = new Random(seed)
  system = new StandinSystem({ command, hasMachines: true, entries: 0, storages: 3, engines: 0, services: 0 })
  await system.start()
  cluster = new Client(system)
  for (let round = 0; round < rounds; round++) {
    const writing = cluster.write()
    if (round === rounds - 1 && random.next() < retirementShare) await retireOne(system, random)
    await sleep(random.between(100, maxTrafficMs))
    await loseAllPower(system, random)
    cluster.stop()
    const backAtMs = performance.now()
    await writing
    expect(await cluster.findMissing(backAtMs + recoveryMs)).toEqual({ denied: [], unknown: [] })
    await sleep(backAtMs + storeOutageMs + catchUpMs - performance.now())
  }
  expect(cluster.committedIds.length).toBeGreaterThan(rounds)
}, 90_000)
