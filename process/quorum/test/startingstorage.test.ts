import { mkdtemp, rm } from 'node:fs/promises'
import { createServer } from 'node:net'
import type { Server } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { LedgerConnection, LedgerServer, PeerError } from '#connection/rpc'
import type { LedgerPeer, LedgerRecord, View } from '#connection/rpc'
import { sleep } from '#process/clock'
import { Disk, Ledger, RecordKind } from '#process/ledger'
import { noopLog } from '#process/log'
import { LedgerQuorum } from '#process/quorum'

const startMs = 600
const timeoutMs = 3000
/// From the start of the storage to the answer.
const maxAnswerMs = 400

const folders: string[] = []
const servers: (LedgerServer | Server)[] = []
const ledgers: Ledger[] = []
let view: View
let quorum: LedgerQuorum

beforeEach(async () => {
  const members: View['members'] = []
  for (const name of ['a', 'b', 'c']) {
    const folder = await mkdtemp(join(tmpdir(), 'ledger-'))
    folders.push(folder)
    const { disk, contents } = Disk.open(folder, noopLog)
    ledgers.push(new Ledger(disk, contents))
    const freed = new LedgerServer()
    const address = `127.0.0.1:${await freed.listen('127.0.0.1:0')}`
    freed.close()
    members.push({ name, diskId: disk.diskId, address, zone: name, state: 'serving', replacement: false, syncedView: 0 })
  }
  view = { version: 3, members, leaveVersion: 0 }
  quorum = createQuorum(address => new LedgerConnection(address))
})

afterEach(async () => {
  quorum.close()
  for (const server of servers.splice(0)) server.close()
  ledgers.splice(0)
  for (const folder of folders.splice(0)) await rm(folder, { recursive: true })
})

function createQuorum (connect: (address: string) => LedgerPeer): LedgerQuorum {
  return new LedgerQuorum({ zone: 'a', toleratedLosses: 1, connect, onStaleView: () => {} }, noopLog)
}

function createReservation (): LedgerRecord {
  return { kind: RecordKind.reservation, id: 'r1', programId: 'p', tokens: 10, previousId: '', input: Buffer.alloc(0), output: Buffer.alloc(0), recordedAtMs: Date.now(), retentionMs: 60_000, instanceId: '' }
}

/// Starts all but the last one, whose disk may be lost.
async function startStorage (): Promise<void> {
  for (const [index, ledger] of ledgers.slice(0, 2).entries()) {
    const server = new LedgerServer(ledger)
    servers.push(server)
    await server.listen(view.members[index]!.address)
  }
}

async function rejectConnections (): Promise<void> {
  for (const { address } of view.members) {
    const server = createServer(socket => socket.destroy())
    servers.push(server)
    await new Promise<void>(resolve => { server.listen(Number(address.split(':')[1]), '127.0.0.1', resolve) })
  }
}

async function closeAll (): Promise<void> {
  await Promise.all(servers.splice(0).map(server => new Promise(resolve => { server.close(resolve as () => void) })))
}

// Guards against LOST: after a final fault, turns are refused as the storage starts more slowly than the entries.
test.each<[string, () => Promise<void>, number]>([
  ['connections are refused', async () => quorum.adoptView(view, 'test'), startMs],
  ['connections are closed at once', async () => {
    await rejectConnections()
    quorum.adoptView(view, 'test')
    setTimeout(() => { closeAll().catch(() => {}) }, startMs / 2)
  }, startMs],
  ['the view is not read yet', async () => { setTimeout(() => quorum.adoptView(view, 'test'), startMs) }, startMs / 2]
])('%s while the storage starts: turns wait for it, and go on at once', async (_, prepare, storageMs) => {
  await prepare()
  const beganAtMs = performance.now()
  const endings = [0, 100, 300].map(async delayMs => {
    await sleep(delayMs)
    const chain = await quorum.findChain('t1', timeoutMs).catch(String)
    return [chain, performance.now() - beganAtMs < startMs + maxAnswerMs]
  })
  await sleep(storageMs)
  await startStorage()
  expect(await Promise.all(endings)).toEqual([[null, true], [null, true], [null, true]])
})

// Guards against a reservation of a caller that has gone, which takes the tokens of its retry.
test.each([
  ['known', false],
  ['not known yet', true]
])('the call is aborted while the storage starts, which is %s: nothing is stored', async (_, wasSent) => {
  quorum.adoptView(view, 'test')
  if (!wasSent) await quorum.findChain('t1', startMs / 2).catch(() => {})
  const controller = new AbortController()
  const reserved = quorum.reserve(createReservation(), timeoutMs, controller.signal).catch(error => error.wasSent)
  await sleep(startMs / 2)
  controller.abort()
  await startStorage()
  expect([await reserved, ledgers[0]!.records.count]).toEqual([wasSent, 0])
})

const silence = new PeerError('request timed out', true, true)
const refusal = new PeerError('connection refused', true, false, true)

/// Resolves to whether a turn waits once the members are down, and whether its caller should come back late.
async function findOutcome (errors: readonly PeerError[]): Promise<[boolean, boolean]> {
  let index = 0
  const peers = errors.map(error => {
    const fail = async (): Promise<never> => { throw error }
    return { open () {}, close () {}, digest: fail, findChain: fail } as unknown as LedgerPeer
  })
  quorum = createQuorum(() => peers[index++]!)
  quorum.adoptView(view, 'test')
  await quorum.findChain('t1', 200).catch(() => {})
  const startedAtMs = performance.now()
  await quorum.findChain('t1', 200).catch(() => {})
  return [performance.now() - startedAtMs > 150, quorum.retryAfterMs >= startMs]
}

test.each([
  ['all machines are reached', [refusal, refusal, refusal], [true, true]],
  ['enough machines are reached', [refusal, silence, refusal], [true, true]],
  ['too few machines are reached', [silence, silence, refusal], [false, false]],
  ['only this entry is cut off', [silence, silence, silence], [false, false]]
])('no storage instance replies, %s', async (_, errors, expected) => {
  expect(await findOutcome(errors)).toEqual(expected)
})

// Guards against LOST: one of two disks is lost, and turns are refused until the new one has copied the other.
test.each<[string, number, string, boolean]>([
  ['the new disk serves soon', 2, 'serving', true],
  ['the new disk serves soon, and a third member is down', 3, 'serving', true],
  ['the new disk goes on copying', 2, 'joining', false]
])('one disk holds what it must, another one is new: %s', async (_, memberCount, laterState, isReserved) => {
  await startStorage()
  const withState = (version: number, state: string): View => {
    const replacement = state === 'joining'
    const members = view.members.map((member, i) => i === 1 ? { ...member, state, replacement } : member)
    return { version, members: members.slice(0, memberCount), leaveVersion: 0 }
  }
  for (const ledger of ledgers) await ledger.adoptView(withState(4, 'joining'))
  quorum.adoptView(withState(4, 'joining'), 'test')
  const beganAtMs = performance.now()
  const reserved = quorum.reserve(createReservation(), startMs * 2).then(() => true, () => false)
  await sleep(startMs / 2)
  for (const ledger of ledgers) await ledger.adoptView(withState(5, laterState))
  expect(await reserved).toBe(isReserved)
  expect(performance.now() - beganAtMs < startMs / 2 + maxAnswerMs).toBe(isReserved)
})

test('a disk still copies, but too few others reply: a reservation is rejected at once', async () => {
  const members = view.members.with(1, { ...view.members[1]!, state: 'joining', replacement: true })
  const { diskId } = members[1]!
  const reply = async (): Promise<unknown> => ({ standing: { diskId, viewVersion: view.version }, account: [] })
  const fail = async (): Promise<never> => { throw silence }
  quorum = createQuorum(address => {
    const send = address === members[1]!.address ? reply : fail
    return { open () {}, close () {}, digest: send, append: send } as unknown as LedgerPeer
  })
  quorum.adoptView({ ...view, members }, 'test')
  const beganAtMs = performance.now()
  await expect(quorum.reserve(createReservation(), timeoutMs)).rejects.toThrow('too few replies')
  expect(performance.now() - beganAtMs).toBeLessThan(maxAnswerMs)
})
