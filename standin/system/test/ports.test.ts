import { createServer } from 'node:net'
import { expect, test } from 'vitest'
import { findFreePorts } from '#standin/system'

// Linux, macOS and Windows all assign ports from here on to outgoing connections.
const firstEphemeralPort = 32_768

// Guards against EADDRINUSE in `npm start`: a port that had been found free was assigned to an
// outgoing connection before the process that should listen on it had bound it.
test('the ports are distinct and below the ephemeral range', async () => {
  const ports = await findFreePorts(40)
  expect(Math.max(...ports)).toBeLessThan(firstEphemeralPort)
  expect(new Set(ports).size).toBe(40)
})

test('a port that is in use is skipped', async () => {
  const [port] = await findFreePorts(1)
  const server = createServer()
  await new Promise<void>(resolve => server.listen(port! + 1, '127.0.0.1', resolve))
  expect(await findFreePorts(3)).not.toContain(port! + 1)
  server.close()
})
