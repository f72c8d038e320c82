import { createServer } from 'node:net'
import { expect, test } from 'vitest'
import { findFreePorts } from '#standin/system'

// Ports from here on go to outgoing connections on Linux, macOS and Windows alike.
const firstEphemeralPort = 32_768

// `npm start` failed with EADDRINUSE: a port that had been found free was given to a
// client's connection before the process that it was meant for had bound it.
test('ports can not be taken by an outgoing connection before they are bound', async () => {
  const ports = await findFreePorts(40)
  expect(Math.max(...ports)).toBeLessThan(firstEphemeralPort)
  expect(new Set(ports).size).toBe(40)
})

test('a port that is in use is passed over', async () => {
  const [port] = await findFreePorts(1)
  const taken = createServer()
  await new Promise<void>(resolve => taken.listen(port! + 1, '127.0.0.1', resolve))
  expect(await findFreePorts(3)).not.toContain(port! + 1)
  taken.close()
})
