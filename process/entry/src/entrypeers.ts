import type { Socket } from 'node:net'
import { DatagramSocket } from '#connection/datagram'
import { FrontServer } from '#connection/front'
import type { Exchange, FrontLimits, FrontOptions } from '#connection/front'
import { keepListening } from '#connection/listen'
import type { Listener } from '#connection/listen'
import { Freshness, ObjectKind, ObjectWatch } from '#connection/store'
import type { ObjectStore, WatchHandler, WatchOptions } from '#connection/store'
import type { EventLog } from '#process/log'
import type { MemoryBudget } from '#process/memory'
import type { Metrics } from '#process/metrics'
import { WorkspaceQuotas, quotaDatagramType } from '#process/quota'
import type { QuotaTolerance } from '#process/quota'
import { ConnectionRelay, EntryDirectory, RelayWord, ServiceTime, keepRegistered, loadReportType, parseLoadReport, readOrigin } from '#process/relay'
import type { LoadReport, Registration, RelayOrigin, RequestReader } from '#process/relay'
import { RevisionGossip, encodeRevisionDigest, gossipTickMs, parseRevisionDigest, revisionDigestType } from '#process/revisions'
import type { RevisionDigest } from '#process/revisions'
import type { SpeedNews } from '#process/speed'

export interface EntryPeersOptions {
  readonly registration: Registration
  readonly store: ObjectStore
  /// Version of the configuration in force here, 0 for none.
  readonly getConfigVersion: () => number
  readonly reader: RequestReader
  /// Whether this entry takes relayed connections.
  readonly isReady: () => boolean
  /// Serves an exchange of a connection that the entry `origin` relays; must not reject.
  readonly serve: (exchange: Exchange, origin: RelayOrigin | null) => Promise<void>
  /// Takes what this entry has observed of instances since the last time, and adds what others have.
  readonly takeSpeedNews: () => readonly SpeedNews[]
  readonly onSpeedNews: (news: readonly SpeedNews[]) => void
  readonly quotaTolerance: QuotaTolerance
  /// For what relayed connections hold.
  readonly relayMemory: MemoryBudget
  /// Called for each relayed connection that is broken off as there is no memory for it.
  readonly onRelayCut: () => void
  readonly front: Omit<FrontOptions, 'serve' | 'offerConnection' | 'allowsHalfOpen' | 'leavesIdleOpen' | 'refusesWhenFull'>
}

const watchPauseMs = 1000
const loadTickMs = 400

/// What an entry exchanges with the other entries: its registration in the platform's store, load reports, digests of
/// what it knows from the store, credit of workspaces, and relayed connections both ways.
export class EntryPeers {
  readonly directory: EntryDirectory
  readonly serviceTime = new ServiceTime()
  readonly relay: ConnectionRelay
  /// For connections that other entries relay.
  private readonly front: FrontServer
  /// By relayed connection.
  private readonly origins = new WeakMap<Socket, RelayOrigin>()
  /// Relayed connections whose entry knows `RelayWord`.
  private readonly hearers = new WeakSet<Socket>()
  readonly gossip: RevisionGossip
  readonly quotas: WorkspaceQuotas
  private readonly datagrams: DatagramSocket
  private readonly stopCallbacks: (() => void)[] = []
  private registration: Registration
  private registering = new AbortController()
  private readonly stopping = new AbortController()
  /// Whether the other entries can connect.
  private isReachable = false

  constructor (private readonly options: EntryPeersOptions, private readonly log: EventLog, metrics: Metrics) {
    const { registration, getConfigVersion, reader, serve, relayMemory, onRelayCut } = options
    this.registration = registration
    this.directory = new EntryDirectory(registration, log)
    const { directory, serviceTime } = this
    const relayOptions = { directory, serviceTime, getConfigVersion, reader, memory: relayMemory, onCut: onRelayCut }
    this.relay = new ConnectionRelay(relayOptions, log, metrics)
    this.datagrams = new DatagramSocket({
      [loadReportType]: (fields, sender) => this.handleReport(parseLoadReport(fields), sender),
      [revisionDigestType]: fields => this.handleDigest(parseRevisionDigest(fields)),
      [quotaDatagramType]: (fields, sender) => this.quotas.receive(fields, sender)
    })
    this.quotas = new WorkspaceQuotas({
      entries: directory,
      tolerance: options.quotaTolerance,
      send: (fields, address) => this.datagrams.send(quotaDatagramType, fields, [address])
    }, log, metrics)
    this.gossip = new RevisionGossip({
      name: registration.name,
      getPeers: () => directory.others,
      send: (digest, addresses) => {
        this.datagrams.send(revisionDigestType, encodeRevisionDigest(digest), addresses)
      },
      takeSpeedNews: options.takeSpeedNews,
      onSpeedNews: options.onSpeedNews
    })
    this.front = new FrontServer({
      ...options.front,
      serve: exchange => serve(exchange, this.origins.get(exchange.connection) ?? null),
      offerConnection: (socket, serveHere) => readOrigin(socket, (origin, hearsWords) => {
        this.origins.set(socket, origin)
        if (hearsWords) this.hearers.add(socket)
        serveHere(false)
      }, options.isReady),
      allowsHalfOpen: true,
      leavesIdleOpen: true,
      refusesWhenFull: true
    })
  }

  /// An entry whose address for other entries can't be bound serves its callers alone until it can.
  start (): void {
    this.joinOthers().catch((error: unknown) => {
      if (!this.stopping.signal.aborted) throw error
    })
    const watchOptions = { kind: ObjectKind.entries, pauseMs: watchPauseMs, freshness: Freshness.mayBeStale }
    const watch = this.watch(this.options.store, watchOptions, this.directory)
    const loadTimer = setInterval(() => this.updateLoad(), loadTickMs)
    const gossipTimer = setInterval(() => this.gossip.tick(), gossipTickMs)
    this.stopCallbacks.push(
      () => watch.stop(),
      () => this.registering.abort(),
      () => clearInterval(loadTimer),
      () => clearInterval(gossipTimer),
      () => this.gossip.stop(),
      () => this.quotas.stop(),
      () => this.datagrams.close(),
      () => this.relay.close()
    )
  }

  /// Watches a kind of objects in the store together with the other entries.
  watch (
    store: ObjectStore,
    options: Pick<WatchOptions, 'kind' | 'pauseMs' | 'freshness'>,
    handler: WatchHandler
  ): ObjectWatch {
    const { gossip } = this
    const watch = new ObjectWatch(store, {
      ...options,
      getWaitMs: () => gossip.chooseWaitMs(),
      getMaxRetryMs: () => gossip.maxRetryMs,
      onLateNews: () => gossip.announceNews()
    }, handler, this.log)
    gossip.add(watch)
    return watch
  }

  setProcessors (processors: number): void {
    if (processors === this.registration.processors) return
    this.registration = { ...this.registration, processors }
    this.directory.own = this.registration
    if (this.isReachable) this.register()
  }

  setLimits (limits: FrontLimits): void {
    this.front.setLimits(limits)
    this.relay.idleTimeoutMs = limits.idleTimeoutMs
  }

  /// Relays no further connections, and asks the other entries to pass no further calls on.
  startStop (): void {
    this.relay.startStop()
    this.front.announce(Buffer.of(RelayWord.stopping), socket => this.hearers.has(socket))
  }

  /// Accepts no further relayed connections. Resolves when all have ended.
  async closeFront (): Promise<void> {
    this.stopping.abort()
    await this.front.close()
  }

  stop (): void {
    for (const stop of this.stopCallbacks) stop()
  }

  private async joinOthers (): Promise<void> {
    await Promise.all([this.listen(this.front, 'relay'), this.listen(this.datagrams, 'datagrams')])
    this.isReachable = true
    this.register()
  }

  private async listen (listener: Listener, name: string): Promise<void> {
    const { address } = this.registration
    await keepListening(listener, { name, address, log: this.log, signal: this.stopping.signal })
  }

  /// Writes the registration to the store, in place of an earlier one.
  private register (): void {
    this.registering.abort()
    this.registering = new AbortController()
    keepRegistered(this.registration, this.options.store, this.registering.signal, this.log)
  }

  private handleReport (report: LoadReport | null, sender: string): void {
    if (report === null) return
    this.directory.recordReport(report)
    if (report.isQuery) this.datagrams.send(loadReportType, this.createReport(false), [sender])
  }

  private handleDigest (digest: RevisionDigest | null): void {
    if (digest !== null) this.gossip.receive(digest)
  }

  private updateLoad (): void {
    this.serviceTime.update()
    const asked = this.directory.tick(this.serviceTime.expectedMs, this.options.getConfigVersion())
    this.datagrams.send(loadReportType, this.createReport(true), asked)
  }

  private createReport (isQuery: boolean): LoadReport {
    const { getConfigVersion, isReady } = this.options
    return {
      name: this.registration.name,
      expectedMs: this.serviceTime.expectedMs,
      configVersion: getConfigVersion(),
      isReady: isReady(),
      isQuery,
      askersProcessors: this.directory.askersProcessors
    }
  }
}
