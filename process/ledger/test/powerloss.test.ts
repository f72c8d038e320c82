import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import fc from 'fast-check'
import { expect, test, vi } from 'vitest'
import type { LedgerRecord } from '#connection/rpc'
import { Disk, Ledger, RecordKind } from '#process/ledger'
import { noopLog } from '#process/log'
import { losePower, PowerLoss, PowerLostError, trackFiles } from '#standin/machine'
import type { DiskBehaviour } from '#standin/machine'
import { Random } from '../../../standin/soak/src/random.js'

const seed = Number(process.env.HISTORY_SEED ?? 20261206)
const runCount = Number(process.env.HISTORIES ?? 60)
const maxActions = 30
/// More than the steps of a start.
const maxStartSteps = 30
const largeBytes = 3 * 1024 * 1024
/// So many that the oldest one is compacted.
const manySegments = 9
const slowSyncMs = 1000
const noMember = { leaveVersion: 0, members: [] }

/// What was acknowledged or told, and must be there after each loss of power.
class Promises {
  readonly recordIds = new Set<string>()
  viewVersion = 0
  diskId: string | null = null

  check ({ diskId, records, view }: Ledger): void {
    if (this.diskId !== null) expect(diskId).toBe(this.diskId)
    this.diskId = diskId
    expect(view.version).toBeGreaterThanOrEqual(this.viewVersion)
    const missing = [...this.recordIds].filter(id => records.get(`${RecordKind.turn}/${id}`) === undefined)
    expect(missing).toEqual([])
    // What a start begins with is told from then on.
    this.viewVersion = view.version
    for (const key of records.listKeys(0, Infinity).keys) this.recordIds.add(key.slice(`${RecordKind.turn}/`.length))
  }
}

const actionNames = [
  'persist', 'persistAgain', 'persistLarge', 'persistUnawaited', 'adoptView', 'adoptUnawaited', 'compact', 'restart', 'slowDown'
] as const

type ActionName = typeof actionNames[number]

/// What happens from a start of the process to its end.
interface Life {
  readonly actions: readonly ActionName[]
  /// The number of steps to the end: writes, syncs and changes of names.
  readonly cutAfter: number
  readonly losesPower: boolean
}

/// One storage instance's disk, whose power is cut now and then.
class Machine {
  readonly promises = new Promises()
  private readonly folder = join(mkdtempSync(join(tmpdir(), 'power-')), 'data')
  private readonly behaviour: DiskBehaviour = { syncDelayMs: 0, isFull: false, skipsSyncs: true }
  private disk: Disk | null = null
  private ledger: Ledger | null = null
  private latest: LedgerRecord | null = null
  private readonly unawaited: Promise<unknown>[] = []
  private recordCount = 0
  private viewCount = 0

  constructor (private readonly random: Random, private readonly isFirstStart: boolean) {}

  /// Acts until the process is killed, with or without a loss of power, or to the end.
  async run ({ actions, cutAfter, losesPower }: Life): Promise<void> {
    const untrack = trackFiles(this.folder, this.behaviour)
    this.behaviour.stepsToLoss = cutAfter
    try {
      this.start()
      for (const action of actions) await this[action]()
    } catch (error) {
      if (!(error instanceof PowerLostError)) throw error
    } finally {
      this.behaviour.stepsToLoss = 0
      await Promise.allSettled(this.unawaited)
      this.disk?.close()
      this.disk = null
      untrack()
    }
    const { random } = this
    if (losesPower) losePower(this.folder, random.pick(Object.values(PowerLoss)), () => random.next())
  }

  /// Starts without a fault, and checks what is there.
  check (): void {
    this.start()
    this.disk!.close()
    this.disk = null
  }

  remove (): void {
    rmSync(join(this.folder, '..'), { recursive: true, force: true })
  }

  private start (): void {
    this.disk?.close()
    this.disk = null
    const { disk, contents } = Disk.open(this.folder, noopLog, { isFirstStart: this.isFirstStart })
    this.disk = disk
    this.ledger = new Ledger(disk, contents)
    this.promises.check(this.ledger)
  }

  private persist (bytes = 20): Promise<void> {
    this.latest = this.createRecord(bytes)
    return this.persistAgain()
  }

  /// The record before may have been written by a process that was killed.
  private async persistAgain (): Promise<void> {
    const { latest } = this
    if (latest === null) return
    await this.ledger!.persist([latest])
    this.promises.recordIds.add(latest.id)
  }

  private persistLarge (): Promise<void> {
    return this.persist(largeBytes)
  }

  private persistUnawaited (): void {
    this.runUnawaited(this.persist(5000))
  }

  private runUnawaited (work: Promise<void>): void {
    this.unawaited.push(work.catch(() => {}))
  }

  private async adoptView (): Promise<void> {
    const version = ++this.viewCount
    await this.ledger!.adoptView({ ...noMember, version })
    this.promises.viewVersion = Math.max(version, this.promises.viewVersion)
  }

  private adoptUnawaited (): void {
    this.runUnawaited(this.adoptView())
  }

  /// Moves the oldest segment, as if there were many.
  private async compact (): Promise<void> {
    const { segmentCount } = this.disk!
    if (segmentCount < 2) return
    const spy = vi.spyOn(this.disk!, 'segmentCount', 'get').mockReturnValue(manySegments)
    await this.ledger!.compact(0).finally(() => spy.mockRestore())
  }

  /// Another thread waits for the next sync.
  private slowDown (): void {
    Object.assign(this.disk!, { lastSyncMs: slowSyncMs })
  }

  private restart (): void {
    this.start()
  }

  private createRecord (bytes: number): LedgerRecord {
    return {
      kind: RecordKind.turn,
      id: `t${++this.recordCount}`,
      programId: 'p',
      tokens: 5,
      previousId: '',
      input: Buffer.alloc(bytes, this.recordCount),
      output: Buffer.from('out'),
      recordedAtMs: 1000,
      retentionMs: 60_000,
      instanceId: ''
    }
  }
}

const life: fc.Arbitrary<Life> = fc.record({
  losesPower: fc.boolean(),
  actions: fc.array(fc.constantFrom(...actionNames), { maxLength: maxActions, size: 'max' }),
  cutAfter: fc.oneof(fc.nat(maxStartSteps), fc.nat(6 * maxActions))
})

// Guards against LOST: what was acknowledged or told is gone, or the disk is another one, after a loss of power.
test(`through losses of power, all that was acknowledged stays (seed ${seed})`, async () => {
  const history = fc.tuple(fc.array(life, { minLength: 1, maxLength: 5 }), fc.integer(), fc.boolean())
  await fc.assert(fc.asyncProperty(history, async ([lives, randomSeed, isFirstStart]) => {
    const machine = new Machine(new Random(randomSeed), isFirstStart)
    try {
      for (const life of lives) await machine.run(life)
      machine.check()
    } finally {
      machine.remove()
    }
  }), { seed, numRuns: runCount })
}, 120_000)
