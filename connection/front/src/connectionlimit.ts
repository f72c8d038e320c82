/// What decides which connection is closed first.
export interface ConnectionState {
  /// What it is used for now.
  readonly use: ConnectionUse
  /// When its last response was sent, or it was accepted, on the monotonic clock of `performance.now()`. A caller that
  /// sends slowly doesn't change it.
  readonly progressAtMs: number
}

/// An open connection.
export interface HeldConnection extends ConnectionState {
  close (): void
}

/// What a connection is used for, which decides whether it may be closed to make room.
export const ConnectionUse = {
  /// No whole request has arrived that has no response yet.
  waiting: 'waiting',
  /// A response is complete here, and waits to be read.
  sending: 'sending',
  /// Many requests wait behind the one that is being served.
  pipelining: 'pipelining',
  /// A request is being served.
  serving: 'serving'
} as const

export type ConnectionUse = typeof ConnectionUse[keyof typeof ConnectionUse]

/// Those that are closed to make room, the first ones first.
const closableUses: readonly ConnectionUse[] = [ConnectionUse.waiting, ConnectionUse.sending, ConnectionUse.pipelining]

/// Bounds the open connections of a server, so that new callers get in while others hold theirs open.
export class ConnectionLimit {
  private readonly connections = new Set<HeldConnection>()
  /// Those of them that have been told to close.
  private readonly closing = new Set<HeldConnection>()

  constructor (private readonly maxConnections: number) {}

  get count (): number {
    return this.connections.size
  }

  /// Adds a connection, and closes the one without progress for the longest time if there are too many. Returns false
  /// if no other one may be closed: the new one must be closed then, and is not added.
  add (connection: HeldConnection): boolean {
    if (this.connections.size - this.closing.size >= this.maxConnections && !this.makeRoom()) return false
    this.connections.add(connection)
    return true
  }

  remove (connection: HeldConnection): void {
    this.connections.delete(connection)
    this.closing.delete(connection)
  }

  private makeRoom (): boolean {
    for (const use of closableUses) {
      const oldest = this.findOldest(use)
      if (oldest === null) continue
      this.closing.add(oldest)
      oldest.close()
      return true
    }
    return false
  }

  private findOldest (use: ConnectionUse): HeldConnection | null {
    let oldest: HeldConnection | null = null
    for (const connection of this.connections) {
      if (connection.use !== use || this.closing.has(connection)) continue
      if (oldest === null || connection.progressAtMs < oldest.progressAtMs) oldest = connection
    }
    return oldest
  }
}
