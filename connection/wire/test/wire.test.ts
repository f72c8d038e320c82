import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import {
  AcknowledgeReply, AttachRequest, ConfigureReply, ConnectionError, DispatchEvent, DispatchRequest, EventsReply,
  InquireReply, InquireRequest, LoadReport, ReleaseReply, RpcServer, connectSidecar
} from '#connection/wire'
import type { ProcessPort, SidecarConnection, SidecarPort } from '#connection/wire'

const deltaCount = 3

async function * deltas (): AsyncGenerator<DispatchEvent> {
  for (let index = 0; index < deltaCount; index++) {
    yield DispatchEvent.fromPartial({ event: { $case: 'delta', value: { index, text: `t${index}` } } })
  }
}

async function * failing (): AsyncGenerator<DispatchEvent> {
  yield * deltas()
  throw new Error('broken')
}

const sidecar: SidecarPort = {
  dispatch: deltas,
  attach: failing,
  inquire: async () => InquireReply.fromPartial({ state: 'never' }),
  acknowledge: async () => AcknowledgeReply.fromPartial({}),
  release: async () => ReleaseReply.fromPartial({ released: true }),
  report: () => new Promise<LoadReport>(() => {})
}

const process: ProcessPort = {
  events: async () => EventsReply.fromPartial({}),
  configure: async () => ConfigureReply.fromPartial({ version: 4 })
}

describe('RpcServer and connectSidecar', () => {
  let server: RpcServer
  let peer: SidecarConnection

  beforeEach(async () => {
    server = RpcServer.create({ process, sidecar })
    const port = await server.listen('127.0.0.1:0')
    peer = connectSidecar(`127.0.0.1:${port}`, { shortTimeoutMs: 200 })
  })

  afterEach(() => {
    peer.close()
    server.cut()
  })

  it('carries unary calls and streams', async () => {
    const texts = []
    for await (const { event } of peer.dispatch(DispatchRequest.fromPartial({}))) {
      if (event?.$case === 'delta') texts.push(event.value.text)
    }
    expect(texts).toEqual(['t0', 't1', 't2'])
    expect((await peer.inquire(InquireRequest.fromPartial({}))).state).toBe('never')
    expect((await peer.configure({ version: 4, configuration: Buffer.alloc(0) })).version).toBe(4)
  })

  it('delivers what came before a stream broke, then a ConnectionError', async () => {
    let seen = 0
    const read = async () => {
      for await (const event of peer.attach(AttachRequest.fromPartial({}))) if (event.event) seen++
    }
    await expect(read()).rejects.toMatchObject({ name: 'ConnectionError', mayHaveArrived: true })
    expect(seen).toBe(deltaCount)
  })

  it('does not wait for ever for an answer', async () => {
    const report = peer.report({ entryId: 'a', configVersion: 0, time: undefined })
    await expect(report).rejects.toBeInstanceOf(ConnectionError)
  })

  it('knows that a request to a closed port has not arrived', async () => {
    const unused = RpcServer.create({ process })
    const port = await unused.listen('127.0.0.1:0')
    unused.cut()
    const nobody = connectSidecar(`127.0.0.1:${port}`)
    const request = InquireRequest.fromPartial({})
    await expect(nobody.inquire(request)).rejects.toMatchObject({ mayHaveArrived: false })
    nobody.close()
  })
})
