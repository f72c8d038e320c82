import { PassThrough } from 'node:stream'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { expect, test } from 'vitest'
import { sleep } from '#process/clock'
import { Exchange } from '#connection/front'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

const partBytes = 100_000
/// Of the memory for the request.
const freeBytes = 2 * partBytes

/// Sends a body in parts and has it read. Returns a reference to all parts and, if the body wasn't refused, to the
/// whole.
async function receiveBody (request: PassThrough, exchange: Exchange, parts: number): Promise<WeakRef<Buffer>[]> {
  const references: WeakRef<Buffer>[] = []
  let heldBytes = 0
  const memory = {
    assertAdd: (bytes: number) => {
      heldBytes += bytes
      if (heldBytes > freeBytes) throw new Error('no memory')
    }
  }
  const received = exchange.readBody(Infinity, memory as never).then(
    body => references.push(new WeakRef(body)),
    (error: Error) => expect(error.message).toBe('no memory')
  )
  for (let i = 0; i < parts; i++) {
    const part = Buffer.allocUnsafeSlow(partBytes)
    references.push(new WeakRef(part))
    request.write(part)
  }
  request.end()
  await received
  return references
}

// Guards against connections that kept the body of their newest request, of which 64 took 256 MB.
test.each([
  ['of one part', 1],
  ['of two parts', 2],
  ['that is refused for want of memory', 3]
])('a request that a connection keeps doesn\'t keep its body, %s', async (_, parts) => {
  const request = Object.assign(new PassThrough(), { headers: {} })
  const exchange = new Exchange(request as never, new PassThrough() as never, 0, {} as never)
  const references = await receiveBody(request, exchange, parts)
  await sleep(10)
  collectGarbage()
  expect(references.filter(reference => reference.deref() !== undefined)).toEqual([])
  expect(exchange.isFinished).toBe(false)
})
