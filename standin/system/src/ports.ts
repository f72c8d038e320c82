import { createServer } from 'node:net'

/// Below the ports that systems hand to outgoing connections (32768 on): one of
/// those may be taken between the moment it was found free and its use.
const lowestPort = 12_000
const highestPort = 32_000

/// Where the next search begins; by process, so that two at once seldom meet.
let nextPort = lowestPort + (process.pid * 97) % (highestPort - lowestPort)

/// Finds ports of 127.0.0.1 that nobody listens on, none of them twice in one process.
export async function findFreePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const port = nextPort
    nextPort = port < highestPort ? port + 1 : lowestPort
    if (await isFree(port)) ports.push(port)
  }
  return ports
}

function isFree (port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
