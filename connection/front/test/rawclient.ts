import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { once } from 'node:events'

/// A client of the front that sends and receives raw bytes.
export class RawClient {
  /// All bytes that were received.
  text = ''
  /// Code of the connection's error, null without one.
  errorCode: string | null = null

  private constructor (readonly socket: Socket) {
    socket.on('data', chunk => { this.text += chunk.toString('latin1') })
    socket.on('error', (error: NodeJS.ErrnoException) => { this.errorCode = error.code ?? '' })
  }

  static async open (port: number): Promise<RawClient> {
    const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true })
    await once(socket, 'connect')
    return new RawClient(socket)
  }

  /// Resolves when what was received matches.
  async waitFor (pattern: RegExp): Promise<void> {
    while (!pattern.test(this.text)) await Promise.race([once(this.socket, 'data'), rejectAtEnd(this.socket)])
  }

  /// Resolves when the server has ended its side.
  async waitForEnd (): Promise<void> {
    if (!this.socket.readableEnded && !this.socket.destroyed) await Promise.race([once(this.socket, 'end'), once(this.socket, 'close')])
  }

  get statuses (): string[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(match => match[1]!)
  }
}

async function rejectAtEnd (socket: Socket): Promise<never> {
  if (!socket.readableEnded) await once(socket, 'end')
  throw new Error('the connection has ended')
}
