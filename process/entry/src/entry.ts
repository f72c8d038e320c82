import { ChainCache, maxPromptBytes } from '#request/turn'
import type { ForwardContext } from '#request/forward'
import { ClosingReason, ConnectionLimit, FrontServer, RequestBacklog, StatusServer } from '#connection/front'
import type { Exchange } from '#connection/front'
import type { HeaderCodec } from '#connection/header'
import { keepListening } from '#connection/listen'
import { LedgerConnectionPool } from '#connection/rpc'
import { ObjectKind, handleObject } from '#connection/store'
import type { ObjectStore, StoredObject } from '#connection/store'
import { InstanceClient } from '#connection/upstream'
import type { Configuration, RouteTable } from '#version/configuration'
import { Admission, RefusedTurns, StartupPhase } from '#process/admission'
import { sleep } from '#process/clock'
import type { LoopBacklog } from '#process/clock'
import { InstanceRegistry } from '#process/instances'
import type { InstanceDescription, ParseInstance } from '#process/instances'
import { Events } from '#process/log'
import type { EventLog } from '#process/log'
import type { Metrics } from '#process/metrics'
import { MemoryBudget, RequestBudget, planConnections, planMemory, readMaxDescriptors } from '#process/memory'
import { Placement } from '#process/placement'
import { LedgerQuorum } from '#process/quorum'
import { noTolerance } from '#process/quota'
import type { QuotaTolerance, WorkspaceQuotas } from '#process/quota'
import { RequestLimits } from '#process/requestlimit'
import type { RelayOrigin } from '#process/relay'
import { ActiveConfiguration } from './activeconfiguration.js'
import { CallDrain } from './calldrain.js'
import { ConfigurationWait } from './configurationwait.js'
import { findCallTimeoutMs } from './calltimeout.js'
import { EntryPeers } from './entrypeers.js'
import { recordDropped, serveExchange } from './serve.js'
import type { EntryState } from './serve.js'
import { ViewReader } from './viewreader.js'

export interface EntryOptions {
  readonly name: string
  readonly zone: string
  /// How many processors the process has, or which share of one.
  readonly processors: number
  /// The memory that the process may use; null if it has no limit.
  readonly memoryMb: number | null
  /// The descriptors that the process may have open; without it, as many as the operating system allows.
  readonly maxDescriptors?: number
  readonly callersAddress: string
  /// HOST:PORT for connections that other entries relay, over TCP, and load reports, over UDP.
  readonly relayAddress: string
  readonly readinessAddress: string
  readonly readinessPath: string
  readonly toleratedLosses: number
  readonly stopGraceMs: number
  /// Without it, nothing is tolerated beyond quotas.
  readonly quotaTolerance?: QuotaTolerance
}

/// The options that may change while the entry runs.
export type ReloadableOptions = Pick<EntryOptions, 'processors' | 'stopGraceMs'>

/// The platform services that an entry depends on.
export interface EntryPlatform {
  readonly headers: HeaderCodec
  readonly store: ObjectStore
  readonly parseInstance: ParseInstance
  /// Throws if the object does not contain a valid configuration.
  readonly parseConfiguration: (object: StoredObject) => Configuration
}

const configurationObjectName = 'main'
const configurationWatch = { kind: ObjectKind.configuration, pauseMs: 100 }
/// Changes of instances come in numbers when instances are started or replaced.
const instanceWatch = { kind: ObjectKind.instances, pauseMs: 500 }
/// Of each message that is held, so much is not counted as memory.
const freeBytesPerMessage = 64 * 1024
const defaultMaxConnections = 32
/// Fraction of an instance's connections that one entry may use.
const connectionShare = 0.25
/// A busy process closes its listeners late; the rest of the grace period is theirs, and this much in any case.
const minCloseTimeoutMs = 50
/// For the settlements of the last calls.
const flushTimeoutMs = 300

/// The entry role: accepts calls, routes and queues them, and streams the responses of upstream instances back.
export class Entry implements EntryState {
  private readonly stopCallbacks: (() => void)[] = []
  private readonly closeCallbacks: (() => Promise<void>)[] = []
  private readonly configuration: ActiveConfiguration
  private readonly registry: InstanceRegistry
  private readonly quorum: LedgerQuorum
  private readonly viewReader: ViewReader
  private readonly front: FrontServer
  private readonly callerLimit: ConnectionLimit
  private readonly peers: EntryPeers
  readonly drain: CallDrain
  readonly configurationWait = new ConfigurationWait()
  private readonly context: ForwardContext
  private stopped: Promise<void> | null = null
  /// Aborted when the entry stops.
  private readonly stopping = new AbortController()
  /// Whether callers can connect.
  private isListening = false

  constructor (
    private readonly options: EntryOptions,
    private readonly platform: EntryPlatform,
    private readonly log: EventLog,
    private readonly metrics: Metrics,
    backlog: LoopBacklog
  ) {
    const { name, zone, processors, relayAddress, toleratedLosses } = options
    this.drain = new CallDrain(options.stopGraceMs)
    this.configuration = new ActiveConfiguration({
      parse: platform.parseConfiguration,
      onApplied: configuration => this.handleConfiguration(configuration)
    }, log)
    this.registry = new InstanceRegistry({
      parseInstance: platform.parseInstance,
      connect: description => this.createClient(description),
      onChange: () => placement.processQueue()
    }, log)
    const placement = new Placement(this.registry, zone, log)
    this.quorum = new LedgerQuorum({
      zone,
      toleratedLosses,
      connect: address => new LedgerConnectionPool(address),
      onStaleView: () => this.viewReader.read()
    }, log)
    this.viewReader = new ViewReader(platform.store, this.quorum, log)
    const admission = new Admission(backlog, () => this.peers.relay.betterShare, new StartupPhase())
    const plan = planMemory(options.memoryMb)
    const connections = planConnections(options.memoryMb, options.maxDescriptors ?? readMaxDescriptors())
    const responseMemory = new MemoryBudget(plan.responseBytes, freeBytesPerMessage, plan.freeBytes)
    const frontOptions = {
      getDelayMs: () => backlog.currentDelayMs,
      onAccepting: (sinceMs: number) => admission.countAccepting(sinceMs),
      onMalformed: (code: string) => log.event(Events.requestMalformed, { code }),
      onDropped: (exchange: Exchange) => recordDropped(exchange, this.context),
      backlog: new RequestBacklog(plan.backlogBytes),
      onClosing: (reason: ClosingReason) => this.recordClosing(reason)
    }
    this.peers = new EntryPeers({
      registration: { name, address: relayAddress, zone, processors },
      store: platform.store,
      getConfigVersion: () => this.configuration.version,
      reader: {
        findCallId: head => platform.headers.findCallId(head),
        findTimeoutMs: head => findCallTimeoutMs(head, platform.headers, this.routes)
      },
      isReady: () => this.isReady,
      takeSpeedNews: () => this.registry.takeSpeedNews(),
      onSpeedNews: news => this.registry.addSpeedNews(news),
      serve: (exchange, origin) => this.serve(exchange, origin),
      quotaTolerance: options.quotaTolerance ?? noTolerance,
      relayMemory: responseMemory,
      onRelayCut: () => this.recordClosing(ClosingReason.tooMuchMemory),
      front: { ...frontOptions, limit: new ConnectionLimit(connections.relayed) }
    }, log, metrics)
    this.front = new FrontServer({
      ...frontOptions,
      limit: this.callerLimit = new ConnectionLimit(connections.callers),
      serve: exchange => this.serve(exchange, null),
      offerConnection: (socket, serve) => this.peers.relay.offer(socket, serve)
    })
    this.context = {
      codec: platform.headers,
      admission,
      placement,
      limits: new RequestLimits(this.peers.directory, log),
      serviceTime: this.peers.serviceTime,
      ledger: this.quorum,
      cache: new ChainCache(plan.cacheBytes),
      requestMemory: new RequestBudget({
        ordinaryBytes: plan.requestBytes,
        totalBytes: plan.allRequestsBytes,
        longestBytes: maxPromptBytes,
        freeBytesPerMessage,
        maxFreeBytes: plan.freeBytes
      }),
      waitingTurns: new RefusedTurns(),
      responseMemory,
      log,
      metrics
    }
    this.addGauges(metrics)
  }

  /// Resolves when callers can connect. Ends early, with what it has started, if `stopping` is aborted or the entry is
  /// stopped meanwhile, or was before.
  async start (stopping?: AbortSignal): Promise<void> {
    if (this.drain.isStopping || stopping?.aborted === true) return
    stopping?.addEventListener('abort', () => this.stopping.abort(), { once: true })
    const { platform } = this
    const configurationHandler = handleObject(configurationObjectName, object => {
      if (object !== null) this.configuration.apply(object)
    })
    const watches = [
      this.peers.watch(platform.store, configurationWatch, configurationHandler),
      this.peers.watch(platform.store, instanceWatch, this.registry)
    ]
    this.stopCallbacks.push(
      () => { for (const watch of watches) watch.stop() },
      () => this.viewReader.stop(),
      () => this.peers.stop()
    )
    this.viewReader.start()
    this.peers.start()
    try {
      await this.listen()
    } catch (error) {
      if (!this.stopping.signal.aborted) throw error
    }
  }

  /// Callers are not let in before it can be asked whether the entry is ready.
  private async listen (): Promise<void> {
    const { log, stopping: { signal }, options: { readinessAddress, readinessPath, callersAddress } } = this
    const readiness = new StatusServer({
      [readinessPath]: () => this.isReady ? { status: 200, text: 'ready\n' } : { status: 503, text: 'not ready\n' }
    })
    this.closeCallbacks.push(() => readiness.close())
    await keepListening(readiness, { name: 'readiness', address: readinessAddress, log, signal })
    await keepListening(this.front, { name: 'callers', address: callersAddress, log, signal })
    this.isListening = true
  }

  /// Accepts new connections for a while longer, then drains the calls in flight. Resolves when none is left, or
  /// shortly before the grace period ends. May be called again, and before `start` has ended.
  stop (askedAtMs = performance.now()): Promise<void> {
    this.stopping.abort()
    this.stopped ??= this.stopOnce(askedAtMs)
    return this.stopped
  }

  private async stopOnce (askedAtMs: number): Promise<void> {
    const { drain, peers } = this
    peers.startStop()
    this.configurationWait.stop()
    await drain.start(askedAtMs)
    const closing = Promise.all([this.front.close(), peers.closeFront()])
    peers.relay.stop()
    await drain.waitForEnd(() => peers.relay.count)
    await Promise.race([closing, sleep(drain.remainingMs)])
    for (const stop of this.stopCallbacks) stop()
    const closed = Promise.all(this.closeCallbacks.map(close => close()))
    await Promise.race([closed, sleep(Math.max(minCloseTimeoutMs, drain.remainingMs))])
    await Promise.race([this.quorum.flush(), sleep(flushTimeoutMs)])
    this.quorum.close()
  }

  reload ({ processors, stopGraceMs }: ReloadableOptions): void {
    this.drain.graceMs = stopGraceMs
    this.peers.setProcessors(processors)
  }

  get routes (): RouteTable | null {
    return this.configuration.routes
  }

  get mayBeOutdated (): boolean {
    return this.peers.gossip.mayBeBehind(ObjectKind.configuration)
  }

  /// Callers reconnect to another entry if this one can't serve them, or to have their new connection relayed.
  shouldCloseConnection (origin: RelayOrigin | null): boolean {
    if (this.drain.isStopping || this.quorum.isCutOff) return true
    return origin === null && this.peers.relay.prefersNewConnections
  }

  private get isReady (): boolean {
    const { drain, registry, quorum } = this
    return this.isListening && !drain.isStopping && this.routes !== null && registry.hasListing && quorum.isAvailable
  }

  private serve (exchange: Exchange, origin: RelayOrigin | null): Promise<void> {
    return this.drain.run(controller => serveExchange({ exchange, origin, controller }, this, this.context))
  }

  /// The credit of workspaces, for their calls.
  get quotas (): WorkspaceQuotas {
    return this.peers.quotas
  }

  private recordClosing (reason: ClosingReason): void {
    this.metrics.increment(`connections_closed_total{reason="${reason}"}`)
    this.log.event(Events.connectionClosed, { reason })
  }

  private handleConfiguration ({ callerLimits, workspaces }: Configuration): void {
    this.peers.quotas.setWorkspaces(workspaces)
    this.front.setLimits(callerLimits)
    this.peers.setLimits(callerLimits)
    // The other entries serve their calls under the older version.
    this.peers.relay.drain()
    this.configurationWait.end()
  }

  private createClient (description: InstanceDescription): InstanceClient {
    const service = this.routes?.configuration.services.get(description.service)
    const share = Math.floor((service?.maxConnections ?? 0) * connectionShare)
    return new InstanceClient(description.address, share > 0 ? share : defaultMaxConnections)
  }

  private addGauges (metrics: Metrics): void {
    const { admission, placement, requestMemory, responseMemory } = this.context
    const { relay, serviceTime } = this.peers
    metrics.addGauge('connections_open', () => this.callerLimit.count)
    metrics.addGauge('calls_under_way', () => this.drain.count)
    metrics.addGauge('programs_shed_share', () => admission.shedShare)
    metrics.addGauge('calls_not_started', () => admission.waiting)
    metrics.addGauge('connections_relayed', () => relay.count)
    metrics.addGauge('call_expected_ms', () => Math.round(serviceTime.expectedMs))
    metrics.addGauge('instances_slow', () => this.registry.countSlow(performance.now()))
    metrics.addGauge('instance_slowdown_max', () => this.registry.findLargestSlowdown(performance.now()))
    metrics.addGauge('instances_limited', () => this.registry.limitedCount)
    metrics.addGauge('request_memory_bytes', () => requestMemory.usedBytes)
    metrics.addGauge('calls_waiting_for_memory', () => requestMemory.waiting)
    metrics.addGauge('response_memory_bytes', () => responseMemory.usedBytes)
    metrics.addGauge('calls_held', () => this.configurationWait.count)
    metrics.addGauge('calls_waiting', () => placement.queueLength)
  }
}
