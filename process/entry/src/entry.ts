import { ChainCache } from '#request/turn'
import type { ForwardContext } from '#request/forward'
import { FrontServer, serveStatus } from '#connection/front'
import type { HeaderCodec } from '#connection/header'
import { LedgerConnectionPool } from '#connection/rpc'
import { ObjectKind, watchObjects, watchObject } from '#connection/store'
import type { ObjectStore, StoredObject } from '#connection/store'
import { InstanceClient } from '#connection/upstream'
import { RouteTable } from '#version/configuration'
import type { Configuration } from '#version/configuration'
import { sleep } from '#process/clock'
import { InstanceRegistry } from '#process/instances'
import type { InstanceDescription, ParseInstance } from '#process/instances'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'
import { parseView, viewObjectName } from '#process/membership'
import type { Metrics } from '#process/metrics'
import { Placement } from '#process/placement'
import { LedgerQuorum } from '#process/quorum'
import { serveExchange } from './serve.js'
import type { EntryState } from './serve.js'

export interface EntryOptions {
  readonly zone: string
  readonly callersAddress: string
  readonly readinessAddress: string
  readonly readinessPath: string
  readonly toleratedLosses: number
  readonly stopGraceMs: number
}

/// What an entry needs of the platform.
export interface EntryPlatform {
  readonly headers: HeaderCodec
  readonly store: ObjectStore
  readonly parseInstance: ParseInstance
  /// Throws where the object holds no configuration.
  readonly parseConfiguration: (object: StoredObject) => Configuration
}

const configurationName = 'main'
const watchWaitMs = 2000
const watchPauseMs = 40
const viewReadPauseMs = 400
const viewCheckMs = 250
const cacheBytes = 24 * 1024 * 1024
const defaultMaxConnections = 32
/// One entry's part of an instance's connections.
const connectionShare = 0.25
/// After SIGTERM: callers are still taken for this long, until the balancer has noticed.
const stopAcceptingAfterMs = 2600
const stopMarginMs = 700
const drainCheckMs = 50

/// The role before the callers: routes, waits, forwards and streams.
export class Entry implements EntryState {
  routes: RouteTable | null = null
  isStopping = false
  private configurationRevision = 0
  private underWay = 0
  private isReadingView = false
  private nextViewReadMs = 0
  private readonly stops: (() => void)[] = []
  private readonly closes: (() => Promise<void>)[] = []
  private readonly registry: InstanceRegistry
  private readonly quorum: LedgerQuorum
  private readonly front: FrontServer
  private readonly context: ForwardContext

  constructor (
    private readonly options: EntryOptions,
    private readonly platform: EntryPlatform,
    private readonly log: EventLog,
    private readonly metrics: Metrics
  ) {
    this.registry = new InstanceRegistry({
      parseInstance: platform.parseInstance,
      connect: description => this.connect(description),
      onChange: () => placement.processQueue()
    }, log)
    const placement = new Placement(this.registry, options.zone, log)
    this.quorum = new LedgerQuorum({
      zone: options.zone,
      toleratedLosses: options.toleratedLosses,
      connect: address => new LedgerConnectionPool(address),
      onStaleView: () => this.readView()
    }, log)
    this.context = {
      codec: platform.headers,
      placement,
      ledger: this.quorum,
      cache: new ChainCache(cacheBytes),
      log,
      metrics
    }
    this.front = new FrontServer({
      serve: exchange => this.serve(exchange),
      onMalformed: code => log.event(Events.requestMalformed, { code })
    })
    metrics.addGauge('calls_under_way', () => this.underWay)
    metrics.addGauge('calls_waiting', () => placement.queueLength)
  }

  async start (): Promise<void> {
    const { options, platform, log } = this
    const pace = { waitMs: watchWaitMs, pauseMs: watchPauseMs }
    this.stops.push(
      watchObject(platform.store, { kind: ObjectKind.configuration, ...pace }, configurationName, object => {
        if (object !== null) this.configure(object)
      }, log),
      watchObjects(platform.store, { kind: ObjectKind.instances, ...pace }, this.registry, log)
    )
    this.readView()
    const viewTimer = setInterval(() => { if (this.quorum.viewVersion === 0) this.readView() }, viewCheckMs)
    this.stops.push(() => clearInterval(viewTimer))
    this.closes.push(await serveStatus(options.readinessAddress, {
      [options.readinessPath]: () => this.isReady ? { status: 200, text: 'ready\n' } : { status: 503, text: 'not ready\n' }
    }))
    await this.front.listen(options.callersAddress)
  }

  /// Lets what is under way end, and resolves when nothing is or time is up.
  async stop (): Promise<void> {
    const startedAtMs = performance.now()
    const lastMs = startedAtMs + this.options.stopGraceMs - stopMarginMs
    this.isStopping = true
    await sleep(Math.min(stopAcceptingAfterMs, this.options.stopGraceMs / 2))
    const closing = this.front.close()
    while (this.underWay > 0 && performance.now() < lastMs) await sleep(drainCheckMs)
    await Promise.race([closing, sleep(Math.max(0, lastMs - performance.now()))])
    for (const stop of this.stops) stop()
    await Promise.race([Promise.all(this.closes.map(close => close())), sleep(drainCheckMs)])
    this.quorum.close()
  }

  private get isReady (): boolean {
    return !this.isStopping && this.routes !== null && this.registry.hasListing && this.quorum.isAvailable
  }

  /// Whether callers should rather go to another entry.
  get shouldCloseConnections (): boolean {
    return this.isStopping || !this.quorum.isAvailable
  }

  private async serve (exchange: Parameters<typeof serveExchange>[0]): Promise<void> {
    this.underWay++
    try {
      await serveExchange(exchange, this, this.context)
    } finally {
      this.underWay--
    }
  }

  private configure (object: StoredObject): void {
    if (object.revision <= this.configurationRevision) return
    try {
      const configuration = this.platform.parseConfiguration(object)
      if (this.routes !== null && configuration.version <= this.routes.configuration.version) return
      this.configurationRevision = object.revision
      this.routes = new RouteTable(configuration)
      this.front.setLimits(configuration.callerLimits)
      this.log.event(Events.configurationApplied, {
        version: configuration.version,
        revision: object.revision,
        routes: configuration.routes.length
      })
    } catch (error) {
      this.log.event(Events.configurationRejected, { revision: object.revision, error: formatError(error) })
    }
  }

  private connect (description: InstanceDescription): InstanceClient {
    const service = this.routes?.configuration.services.get(description.service)
    const share = Math.floor((service?.maxConnections ?? 0) * connectionShare)
    return new InstanceClient(description.address, share > 0 ? share : defaultMaxConnections)
  }

  /// Reads the storage membership, at most once at a time and not too often.
  private readView (): void {
    const nowMs = performance.now()
    if (this.isReadingView || nowMs < this.nextViewReadMs) return
    this.isReadingView = true
    this.nextViewReadMs = nowMs + viewReadPauseMs
    this.platform.store.get(ObjectKind.storageViews, viewObjectName).then(object => {
      if (object !== null) this.quorum.adoptView(parseView(object.spec), 'store')
    }).catch((error: unknown) => {
      this.log.event(Events.viewRejected, { error: formatError(error) })
    }).finally(() => { this.isReadingView = false })
  }
}
