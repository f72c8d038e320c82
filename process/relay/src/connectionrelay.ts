import type { Socket } from 'node:net'
import type { ConnectionState, ServeConnection } from '#connection/front'
import { Events } from '#process/log'
import type { EventLog } from '#process/log'
import type { MemoryBudget } from '#process/memory'
import type { Metrics } from '#process/metrics'
import type { EntryDirectory, OtherEntry } from './directory.js'
import { RelayedConnection } from './relayedconnection.js'
import type { RequestReader } from './requesttracker.js'
import { CallCost } from './servicetime.js'
import type { ServiceTime } from './servicetime.js'

export interface ConnectionRelayOptions {
  readonly directory: EntryDirectory
  readonly serviceTime: ServiceTime
  /// Version of the configuration in force here, 0 for none.
  readonly getConfigVersion: () => number
  readonly reader: RequestReader
  /// For what the connections hold; without it that has no limit.
  readonly memory?: MemoryBudget
  /// Called for each connection that is broken off as there is no memory for it.
  readonly onCut?: () => void
}

/// As that of Node's HTTP server.
const defaultIdleTimeoutMs = 5000

/// Relays new connections to entries at which calls are expected to end sooner than here. All calls of a relayed
/// connection are served there.
export class ConnectionRelay {
  private readonly connections = new Set<RelayedConnection>()
  private isStopping = false
  /// For connections that are relayed from now on.
  idleTimeoutMs = defaultIdleTimeoutMs

  constructor (
    private readonly options: ConnectionRelayOptions,
    private readonly log: EventLog,
    private readonly metrics: Metrics
  ) {}

  get count (): number {
    return this.connections.size
  }

  /// Whether a new connection would be relayed, so that callers of open ones should use a new one.
  get prefersNewConnections (): boolean {
    const { directory, serviceTime, getConfigVersion } = this.options
    return directory.hasBetter(getConfigVersion(), serviceTime.expectedMs)
  }

  /// How long a call is expected to take at the entries to which most new connections would be relayed, by what they
  /// say now, as a share of the time that it takes here; `Infinity` if there are none.
  get betterShare (): number {
    const { directory, serviceTime: { expectedMs }, getConfigVersion } = this.options
    return directory.getBetterMs(getConfigVersion(), expectedMs) / expectedMs
  }

  /// Relays the connection, or calls `serve` if it should be served here. Returns its state while it is relayed.
  offer (caller: Socket, serve: ServeConnection): ConnectionState | void {
    if (this.isStopping) return serve(false)
    const { directory, serviceTime, getConfigVersion } = this.options
    const key = `${caller.remoteAddress}:${caller.remotePort}`
    const entry = directory.choose({ id: key, configVersion: getConfigVersion() }, serviceTime.expectedMs)
    if (entry === null) return serve(false)
    return this.relay(caller, entry, serve)
  }

  /// Relays no further connections, and drains those that it has: responses to calls that are served here can ask their
  /// callers to leave.
  startStop (): void {
    this.isStopping = true
    this.drain()
  }

  /// Closes the connections once their calls in flight have ended.
  stop (): void {
    this.isStopping = true
    for (const connection of [...this.connections]) connection.close()
  }

  /// Passes no further calls on: the next one of each connection is served here.
  drain (): void {
    for (const connection of [...this.connections]) connection.drain()
  }

  close (): void {
    for (const connection of [...this.connections]) connection.abort('this entry stops')
  }

  private relay (caller: Socket, entry: OtherEntry, serve: ServeConnection): ConnectionState {
    const { directory, serviceTime, getConfigVersion, reader, memory, onCut } = this.options
    const { name } = entry.registration
    const address = `${caller.remoteAddress}:${caller.remotePort}`
    this.metrics.increment('relays_total')
    this.log.event(Events.connectionRelayed, {
      entry: name,
      caller: address,
      ownMs: Math.round(serviceTime.expectedMs),
      expectedMs: Math.round(entry.expectedMs),
      ageTicks: entry.ageTicks
    })
    const connection: RelayedConnection = new RelayedConnection({
      caller,
      entry,
      origin: { entry: directory.own.name, configVersion: getConfigVersion() },
      reader,
      idleTimeoutMs: this.idleTimeoutMs,
      memory: memory?.open() ?? null,
      onCut: () => onCut?.(),
      onChunk: () => serviceTime.countCall(CallCost.relayedChunk),
      onUnreachable: () => {
        directory.recordFailure(entry)
        serve(false)
      },
      onReturned: serve,
      onOverdue: () => directory.recordSilence(entry),
      onUnanswered: ({ callId, ...request }) => {
        this.metrics.increment('relayed_unanswered_total')
        const fields = { callId: callId ?? undefined, entry: name, caller: address, ...request }
        this.log.event(Events.relayUnanswered, fields)
      },
      onEnd: reason => {
        this.connections.delete(connection)
        if (reason === null) return
        this.metrics.increment('relays_failed_total')
        this.log.event(Events.relayFailed, { entry: name, reason })
      }
    })
    this.connections.add(connection)
    return connection
  }
}
