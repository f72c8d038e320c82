import { afterEach, expect, test } from 'vitest'
import type { Socket } from 'node:net'
import { EntryHarness } from './harness.js'
import { open } from './rawcaller.js'
import { RawUpstream, formatResponse } from './rawupstream.js'

const finalEvents = ['call-finished', 'call-abandoned', 'answer-undelivered', 'answer-broken', 'call-refused']

let upstream: RawUpstream
let entry: EntryHarness
let caller: Socket

afterEach(async () => {
  caller.destroy()
  await entry.close()
  upstream.close()
})

/// Without `body` the instance sends no response. What the entry writes to the caller stays in the process if `isHeld`.
async function startCall (body: string | null, isHeld: boolean): Promise<void> {
  upstream = new RawUpstream((id, _, socket) => { if (body !== null) socket.write(formatResponse(id, body)) })
  entry = new EntryHarness([{ id: 'tools-0', address: await upstream.listen() }])
  entry.onExchange = ({ connection }) => { if (isHeld) holdWrites(connection) }
  await entry.listen()
  caller = await open(entry.address)
  caller.write('POST /check/1 HTTP/1.1\r\nhost: demo.example\r\nattempt-id: a1\r\ncontent-length: 0\r\n\r\n')
  await entry.log.waitFor('a1', ['call-dispatched'])
}

function holdWrites (connection: Socket): void {
  connection.cork()
  connection.uncork = () => {}
}

async function waitUntilServed (): Promise<void> {
  while (entry.drain.count > 0) await new Promise(resolve => setImmediate(resolve))
}

// Guards against calls that are logged as finished although their caller got no response.
test.each([
  ['the caller reads it', 'whole', false, () => {}, 'call-finished', undefined],
  ['the caller resets the connection before it is sent', 'whole', true, () => caller.resetAndDestroy(), 'answer-undelivered', 'connection-error'],
  ['the caller ends its side before there is one', null, false, () => caller.end(), 'call-abandoned', 'caller-ended'],
  ['the caller resets the connection before there is one', null, false, () => caller.resetAndDestroy(), 'call-abandoned', 'connection-error']
])('the last event of a call says whether its response was delivered: %s', async (_, body, isHeld, act, name, disconnect) => {
  await startCall(body, isHeld)
  if (body !== null) await waitUntilServed()
  act()
  const event = await entry.log.waitFor('a1', finalEvents)
  expect(event).toMatchObject({ name, fields: disconnect === undefined ? {} : { disconnect } })
  expect(entry.log.namesOf('a1').filter(name => finalEvents.includes(name))).toHaveLength(1)
})
