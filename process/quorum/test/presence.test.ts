import { expect, test, vi } from 'vitest'
import { PeerError } from '#connection/rpc'
import type { DigestReply, LedgerPeer, View } from '#connection/rpc'
import { noopLog } from '#process/log'
import { LedgerPeers } from '../src/ledgerpeers.js'

const standing = { diskId: 'd0', viewVersion: 1, newerView: undefined }
const member = { name: 's0', diskId: 'd0', address: '127.0.0.1:1', zone: 'z', state: 'serving', replacement: false, syncedView: 0 }
const view: View = { version: 1, members: [member], leaveVersion: 0 }
const silence = new PeerError('request timed out', true, true)

// Guards against a member that counts as down while it is only slow.
test.each<[string, () => Promise<DigestReply>, boolean]>([
  ['replies', async () => ({ standing, keys: [], nextCursor: 0, atEnd: true, epoch: '' }), true],
  ['replies to other requests only', async () => { throw new PeerError('request timed out', false, true) }, true],
  ['replies to nothing', async () => { throw silence }, false],
  ['is lost', async () => { throw new PeerError('connection lost') }, false]
])('a member that was silent is asked whether it is present, and %s', async (_, digest, isAvailable) => {
  const peer = { open () {}, close () {}, digest: vi.fn(digest) } as unknown as LedgerPeer
  const peers = new LedgerPeers({ zone: 'z', toleratedLosses: 0, connect: () => peer, onStaleView: () => {} }, noopLog)
  peers.adoptView(view, 'test')
  const [state] = peers.getByPreference()
  const deadlineMs = performance.now() + 30
  await peers.sendWithRetry(state!, () => Promise.reject(silence), { deadlineMs, failsFast: false })
  expect(peers.isAvailable).toBe(isAvailable)
  peers.close()
})
