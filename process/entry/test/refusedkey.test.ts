import { afterEach, expect, test } from 'vitest'
import type { EntryHarness } from './harness.js'
import { RawUpstream, formatResponse } from './rawupstream.js'
import { withWorkspaces } from './workspaces.js'

let upstream: RawUpstream
let entry: EntryHarness

afterEach(async () => {
  await entry.close()
  upstream.close()
})

const refusal = (callId: string): string => `HTTP/1.1 503 Full\r\nattempt-id: ${callId}\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n`
const failure = (callId: string): string => `HTTP/1.1 500 Failed\r\nattempt-id: ${callId}\r\ncontent-length: 0\r\n\r\n`

// Guards against a call that begins long after its key was removed, since an instance had refused it before, and
// against the end of one that has run.
test.each<[string, string, (callId: string) => string, number, number]>([
  ['refused', 'chat', refusal, 401, 1],
  ['run without success', 'check', failure, 200, 2]
])('a key that is removed while an instance has its call, which is then %s', async (_, route, formatFirst, status, sentCount) => {
  upstream = new RawUpstream((callId, number, socket) => {
    if (number > 0) return socket.write(formatResponse(callId, 'done'))
    entry.adaptConfiguration = spec => ({ ...withWorkspaces(spec, 'none'), tenants: [] })
    socket.write(formatFirst(callId))
  })
  const service = route === 'chat' ? 'models' : 'tools'
  entry = await upstream.startEntry([`${service}-0`, `${service}-1`])
  entry.adaptConfiguration = spec => withWorkspaces(spec, 'none')
  expect((await entry.call(`/${route}/1`, { authorization: 'Bearer key-red' })).status).toBe(status)
  expect(upstream.callIds.length).toBe(sentCount)
})
