import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { once } from 'node:events'
import { splitAddress } from '#connection/address'
import type { Listener } from '#connection/listen'

/// The fields of a received datagram; none has been validated.
export type DatagramFields = Readonly<Record<string, unknown>>

/// Handles the datagrams of each type. `sender` is HOST:PORT.
export type DatagramHandlers = Readonly<Record<string, (fields: DatagramFields, sender: string) => void>>

/// Sends and receives datagrams, a JSON object each, with its type in the field `type`. Lost ones are not repeated.
export class DatagramSocket implements Listener {
  private readonly socket: Socket
  /// Sending from a socket without an address would bind it to another one.
  private isBinding = false

  constructor (private readonly handlers: DatagramHandlers) {
    this.socket = createSocket('udp4')
    this.socket.on('message', (bytes, { address, port }) => this.receive(bytes, `${address}:${port}`))
    // A datagram that can't be sent is as good as lost.
    this.socket.on('error', () => {})
  }

  async listen (address: string): Promise<void> {
    const [host, port] = splitAddress(address)
    this.isBinding = true
    this.socket.bind(port, host)
    await once(this.socket, 'listening')
    this.isBinding = false
  }

  onError (handle: (error: Error) => void): void {
    this.socket.on('error', handle)
  }

  /// Datagrams are dropped while the socket's own address can't be bound.
  send (type: string, fields: object, addresses: readonly string[]): void {
    if (addresses.length === 0 || this.isBinding) return
    const bytes = Buffer.from(JSON.stringify({ type, ...fields }))
    for (const address of addresses) {
      const [host, port] = splitAddress(address)
      this.socket.send(bytes, port, host, () => {
        // An error shows as the silence of the other side.
      })
    }
  }

  close (): void {
    this.socket.close()
  }

  private receive (bytes: Buffer, sender: string): void {
    const fields = parseFields(bytes)
    const type = fields?.type
    if (fields === null || typeof type !== 'string' || !Object.hasOwn(this.handlers, type)) return
    this.handlers[type]!(fields, sender)
  }
}

function parseFields (bytes: Buffer): DatagramFields | null {
  try {
    const value: unknown = JSON.parse(bytes.toString('utf8'))
    return typeof value === 'object' ? value as DatagramFields | null : null
  } catch {
    return null
  }
}
