import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { MessageError, RequestRejectedError } from '#connection/rpc'
import type { LedgerPeer, Member, View } from '#connection/rpc'
import type { Ledger } from '#process/ledger'
import { noopLog } from '#process/log'
import { MemberState } from '#process/membership'
import { StoragePeers } from '#process/storage'

const tickMs = 400
const pauseMs = 20_000

let peers: StoragePeers
let isReachable: boolean
let failure: Error | null
let digestCount: number

function createMember (name: string): Member {
  return { name, diskId: name, address: `${name}:1`, zone: 'z', state: MemberState.serving, syncedView: 0, replacement: false }
}

function createView (...names: string[]): View {
  return { version: 1, leaveVersion: 0, members: names.map(createMember) }
}

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
  isReachable = true
  failure = null
  digestCount = 0
  const digest = async (): Promise<unknown> => {
    digestCount++
    if (!isReachable) throw new Error('unreachable')
    if (failure !== null) throw failure
    return { standing: { diskId: 'a', viewVersion: 1 }, keys: [], nextCursor: 0, atEnd: true, epoch: 'e' }
  }
  peers = new StoragePeers({
    name: 'standby',
    connect: () => ({ digest, close: () => {} }) as unknown as LedgerPeer,
    onPeerView: () => {}
  }, { diskId: 'own' } as Ledger, noopLog)
  peers.update(createView('a', 'b', 'c'))
})

afterEach(() => { vi.useRealTimers() })

async function tick (count: number): Promise<void> {
  for (let i = 0; i < count; i++) {
    peers.contactWhenDue(performance.now())
    await vi.advanceTimersByTimeAsync(tickMs)
  }
}

const listPresent = (): string[] => [...peers.getPresentDiskIds(performance.now(), 1500)].sort()

// Guards against an instance that was paused and takes its peers for lost.
test('the time in which the process was paused does not count as silence of its peers', async () => {
  await tick(10)
  await vi.advanceTimersByTimeAsync(pauseMs)
  peers.contactWhenDue(performance.now())
  expect(listPresent()).toEqual(['a', 'b', 'c', 'own'])
  expect(peers.findAbsent(performance.now())).toEqual([])
})

// Guards against an eviction because of a failure of our own code: a peer that replies with an error is there.
test.each([
  ['rejects requests', new RequestRejectedError('a:1: a bug')],
  ['could not be sent them', new MessageError('invalid uint32: 0.5')]
])('a peer that %s is not missing', async (_, error) => {
  await tick(10)
  failure = error
  await tick(20)
  expect(listPresent()).toEqual(['a', 'b', 'c', 'own'])
  expect(peers.findAbsent(performance.now())).toEqual([])
})

test('peers that stay silent after a pause are missing as soon as others', async () => {
  await tick(10)
  await vi.advanceTimersByTimeAsync(pauseMs)
  isReachable = false
  await tick(6)
  expect(listPresent()).toEqual(['own'])
})

// Guards against a removed member that a small system never evicts, and against the needless eviction of one that
// is down for some seconds.
test.each<[string, number, number, string[], boolean[], boolean?]>([
  ['not absent for long', 2, 3, ['d'], []],
  ['may be back, if no other has joined', 2, 20, [], [false, false, false]],
  ['may be back, if another joined when it had just been reached', 2, 20, ['d'], [false, false, false]],
  ['is replaced, if another has joined since', 8, 20, ['d'], [true, true, true]],
  ['may be back, if another may have joined before the start of this process', 8, 20, ['d'], [false, false, false], true],
  ['is given up after 15 s', 2, 50, [], [true, true, true]]
])('a silent member: %s', async (_, ticksUntilJoined, silentTicks, joined, expected, isFirstRead = false) => {
  await tick(10)
  isReachable = false
  await tick(ticksUntilJoined)
  peers.update(createView('a', 'b', 'c', ...joined), isFirstRead)
  await tick(silentTicks - ticksUntilJoined)
  const absent = peers.findAbsent(performance.now()).filter(({ diskId }) => diskId !== 'd')
  expect(absent.map(({ isReplaced }) => isReplaced)).toEqual(expected)
})

// Guards against a retirement that waits for the next copy in the ordinary course: faults strike meanwhile.
test.each<[string, Partial<View>, number]>([
  ['a member leaves: the others are copied at once', { version: 2, leaveVersion: 2 }, 3],
  ['another change of the view: they are copied in the ordinary course', { version: 2 }, 0]
])('%s', async (_, change, expectedDigests) => {
  const view = createView('a', 'b', 'c')
  const listed = { ...view, members: [...view.members, { ...createMember('standby'), diskId: 'own' }] }
  peers.update(listed)
  await tick(1)
  digestCount = 0
  peers.update({ ...listed, ...change })
  await tick(1)
  expect(digestCount).toBe(expectedDigests)
})
