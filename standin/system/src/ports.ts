import { createServer } from 'node:net'

/// The range lies below the ephemeral ports (32768 and up): an outgoing connection could take
/// an ephemeral port between the check that it is free and its use.
const lowestPort = 12_000
const highestPort = 32_000

/// Start of the next search. Derived from the process id, so that concurrent processes rarely try the same ports.
let nextPort = lowestPort + (process.pid * 97) % (highestPort - lowestPort)

/// Finds ports on which nothing listens at 127.0.0.1. Does not return a port twice in one process until the whole range
/// has been searched.
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
