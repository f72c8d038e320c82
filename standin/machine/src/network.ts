import dgram from 'node:dgram'
import net from 'node:net'
import type { MachineBehaviour } from './behaviour.js'
import { usualLink } from './behaviour.js'
import { Link } from './link.js'

// The inner parts of a socket of Node.js that are needed here.

interface Handle {
  readStart: () => number
  readStop: () => number
  connect: (request: unknown, address: string, port: number) => number
}

interface OpenSocket extends net.Socket {
  _handle: Handle | null
  _write: WriteStep
  _writev: WriteStep
  _final: (callback: () => void) => void
}

type WriteStep = (...args: unknown[]) => void
type Connect = (this: OpenSocket, ...args: unknown[]) => OpenSocket

interface Destination {
  readonly host?: string
  readonly port?: number | string
  localAddress?: string
}

/// The links of the machine to all addresses that its process connects or sends to. Replaces functions of `node:net`
/// and `node:dgram` in this process. Connections that others open to it are up to the others' links.
export class Network {
  private readonly links = new Map<string, Link>()
  private readonly silenced = new Map<string, Set<() => void>>()

  /// From `localAddress` the machine connects to `localAddressTo`, which tells machines apart by it.
  constructor (private readonly localAddress: string | null, private readonly localAddressTo: string) {}

  /// Returns a function that puts the original functions back.
  install (): () => void {
    const network = this
    const connect = net.Socket.prototype.connect as unknown as Connect
    net.Socket.prototype.connect = function (this: OpenSocket, ...args: unknown[]): OpenSocket {
      const destination = findDestination(args)
      const address = `${destination.host ?? 'localhost'}:${destination.port}`
      const { localAddress } = network
      if (address === network.localAddressTo && localAddress !== null) destination.localAddress = localAddress
      connect.apply(this, args)
      if (destination.port !== undefined && this._handle !== null) network.hold(this, address)
      return this
    } as unknown as typeof net.Socket.prototype.connect
    const send = dgram.Socket.prototype.send as (...args: unknown[]) => void
    dgram.Socket.prototype.send = function (this: dgram.Socket, ...args: unknown[]): void {
      const [, port, host, callback] = args as [unknown, number, string, (() => void) | undefined]
      const link = network.link(`${host}:${port}`)
      if (!link.canSend) callback?.()
      else if (link.delayMs === 0) send.apply(this, args)
      else setTimeout(() => sendIfOpen(() => send.apply(this, args)), link.delayMs)
    } as typeof dgram.Socket.prototype.send
    return () => {
      Object.assign(net.Socket.prototype, { connect })
      Object.assign(dgram.Socket.prototype, { send })
    }
  }

  setLinks (links: MachineBehaviour['links']): void {
    for (const address of Object.keys(links)) this.link(address)
    for (const [address, link] of this.links) link.setState(links[address] ?? usualLink)
  }

  /// The open connections to an address go silent for good.
  silence (address: string): void {
    for (const end of this.silenced.get(address) ?? []) end()
  }

  private link (address: string): Link {
    const link = this.links.get(address) ?? new Link()
    this.links.set(address, link)
    return link
  }

  /// Lets the link decide when the connection is opened, sends and reads.
  private hold (socket: OpenSocket, address: string): void {
    const link = this.link(address)
    const handle = socket._handle!
    let isSilent = false
    const { connect } = handle
    handle.connect = (request, host, port) => {
      link.send(() => { if (!socket.destroyed) connect.call(handle, request, host, port) })
      return 0
    }
    for (const name of ['_write', '_writev', '_final'] as const) {
      const step = socket[name] as WriteStep
      socket[name] = (...args: unknown[]) => {
        if (!isSilent) link.send(() => { if (!isSilent) step.apply(socket, args) })
      }
    }
    const updateReading = holdReading(handle, () => link.canReceive && !isSilent)
    const end = link.onChange(updateReading)
    const ends = this.silenced.get(address) ?? new Set()
    this.silenced.set(address, ends)
    const silence = (): void => {
      isSilent = true
      updateReading()
    }
    ends.add(silence)
    socket.once('close', () => {
      end()
      ends.delete(silence)
    })
  }
}

/// Reads from a handle only while it may. Returns what is to be called when that may have changed.
function holdReading (handle: Handle, mayRead: () => boolean): () => void {
  const { readStart, readStop } = handle
  let isWanted = false
  handle.readStart = () => {
    isWanted = true
    return mayRead() ? readStart.call(handle) : 0
  }
  handle.readStop = () => {
    isWanted = false
    return readStop.call(handle)
  }
  return () => {
    if (!isWanted) return
    if (mayRead()) readStart.call(handle)
    else readStop.call(handle)
  }
}

/// Of the arguments of a socket's `connect`, whose first one may be a list of the others.
function findDestination (args: readonly unknown[]): Destination {
  const first = Array.isArray(args[0]) ? args[0][0] : args[0]
  if (typeof first === 'object' && first !== null) return first as Destination
  return { port: first as number, host: args[1] as string }
}

/// A socket may have been closed meanwhile.
function sendIfOpen (send: () => void): void {
  try {
    send()
  } catch {
    // The datagram is lost.
  }
}
