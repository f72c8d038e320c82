import { serveStatus } from '#connection/front'
import { LedgerConnection, LedgerServer } from '#connection/rpc'
import { LoopMonitor, readCpuMs } from '#process/clock'
import type { LoopBacklog } from '#process/clock'
import { Entry } from '#process/entry'
import type { EntryPlatform } from '#process/entry'
import { Disk, Ledger } from '#process/ledger'
import { Events, ProcessLog, formatError } from '#process/log'
import { Metrics } from '#process/metrics'
import { RunRecord, locateRunRecord } from '#process/runrecord'
import { Role, SettingsFile } from '#process/settings'
import type { Settings } from '#process/settings'
import { MembershipController } from '#process/storage'

/// A daemon's connection to its platform.
export interface ConnectedPlatform extends EntryPlatform {
  /// Applies changed settings.
  reload (settings: Settings): void
}

/// Connects a daemon to the services of its platform.
export interface DaemonPlatform {
  readonly connect: (settings: Settings, log: ProcessLog, metrics: Metrics) => ConnectedPlatform
}

interface RunningRole {
  /// Applies changed settings.
  reload (settings: Settings): void
  stop (): Promise<void>
}

interface RoleContext {
  readonly settings: Settings
  readonly platform: ConnectedPlatform
  readonly log: ProcessLog
  readonly metrics: Metrics
  readonly run: RunRecord
  readonly backlog: LoopBacklog
}

const compactionIntervalMs = 5000

const startByRole: Readonly<Record<Role, (context: RoleContext) => Promise<RunningRole>>> = {
  entry: startEntry,
  storage: startStorage,
  sidecar: async () => { throw new Error('the sidecar role is not implemented') }
}

/// Starts the role given in the settings file. Rejects if the settings are invalid or the role can't be started. On
/// SIGTERM the process stops the role and exits with status 0, or 1 if that fails. A changed settings file takes effect
/// with SIGHUP or without. Uncaught errors are logged and do not end the process.
export async function runDaemon (settingsFile: string, platform: DaemonPlatform): Promise<void> {
  const file = new SettingsFile(settingsFile)
  const { settings } = file
  const log = new ProcessLog(settings.node.name, settings.node.role)
  const metrics = new Metrics()
  const run = RunRecord.open(locateRunRecord(settings), settings.node.memory_mb ?? null)
  log.event(Events.previousRunEnded, { ...run.previous })
  metrics.addGauge(`previous_run{how="${run.previous.how}"}`, () => 1)
  process.on('uncaughtException', error => {
    log.event(Events.unexpectedError, { where: 'process', error: formatError(error), stack: error.stack })
  })
  process.on('unhandledRejection', error => {
    log.event(Events.unexpectedError, { where: 'promise', error: formatError(error) })
  })
  const loopMonitor = new LoopMonitor({
    onDelay: delayMs => metrics.observeMs('event_loop_delay', delayMs),
    onStall: lateMs => log.event(Events.processStalled, { lateMs }),
    onLoad: load => log.event(Events.processLoad, { ...load })
  })
  metrics.addGauge('cpu_ms_total', () => Math.round(readCpuMs()))
  const connected = platform.connect(settings, log, metrics)
  const running = await startByRole[settings.node.role]({
    settings,
    platform: connected,
    log,
    metrics,
    run,
    backlog: loopMonitor
  })
  await serveStatus(`${settings.node.ip}:${settings.listen.metrics_port}`, {
    '/metrics': () => ({ status: 200, text: metrics.toText() })
  })
  run.setReady()
  log.event(Events.processStarted, {
    role: settings.node.role,
    zone: settings.node.zone,
    pid: process.pid,
    startMs: Math.round(performance.now())
  })
  file.watch(changed => {
    connected.reload(changed)
    running.reload(changed)
  }, log)
  process.once('SIGTERM', () => {
    log.event(Events.processStopping, { signal: 'SIGTERM', graceMs: file.settings.timing.stop_grace_ms })
    run.setStopping('SIGTERM')
    running.stop().then(() => {
      run.end('SIGTERM', 0)
      log.event(Events.processStopped, {})
      log.flush()
      process.exit(0)
    }, (error: unknown) => {
      run.end(formatError(error), 1)
      log.event(Events.unexpectedError, { where: 'stop', error: formatError(error) })
      log.flush()
      process.exit(1)
    })
  })
}

async function startEntry ({ settings, platform, log, metrics, backlog }: RoleContext): Promise<RunningRole> {
  const entry = new Entry({
    name: settings.node.name,
    zone: settings.node.zone,
    processors: countProcessors(settings),
    memoryMb: settings.node.memory_mb ?? null,
    callersAddress: settings.listen.callers!,
    relayAddress: `${settings.node.ip}:${settings.listen.peer_port}`,
    readinessAddress: settings.listen.readiness!,
    readinessPath: settings.listen.readiness_path ?? '/ready',
    toleratedLosses: settings.node.tolerated_losses,
    stopGraceMs: settings.timing.stop_grace_ms
  }, platform, log, metrics, backlog)
  await entry.start()
  return {
    stop: () => entry.stop(),
    reload: changed => entry.reload({ processors: countProcessors(changed), stopGraceMs: changed.timing.stop_grace_ms })
  }
}

function countProcessors ({ node }: Settings): number {
  return (node.processor_share ?? 1) * (node.processor_speed ?? 1)
}

async function startStorage ({ settings, platform, log, metrics, run }: RoleContext): Promise<RunningRole> {
  const { node, listen } = settings
  const { disk, contents } = Disk.open(settings.storage!.data_dir, log)
  const ledger = new Ledger(disk, contents)
  const server = new LedgerServer(ledger)
  const address = `${node.ip}:${listen.peer_port}`
  await server.listen(address)
  const membership = new MembershipController({
    name: node.name,
    address,
    zone: node.zone,
    toleratedLosses: node.tolerated_losses,
    isFirstStart: node.first_start && contents.wasEmpty,
    connect: peerAddress => new LedgerConnection(peerAddress)
  }, platform.store, ledger, log)
  membership.start()
  const compactionTimer = setInterval(() => {
    ledger.compact(Date.now()).catch((error: unknown) => log.event(Events.diskFailed, { error: formatError(error) }))
  }, compactionIntervalMs)
  ledger.onFailure = error => exitAfterDiskFailure(log, run, error)
  metrics.addGauge('records', () => ledger.records.count)
  return {
    reload: () => {},
    stop: async () => {
      clearInterval(compactionTimer)
      membership.stop()
      server.close()
      disk.close()
    }
  }
}

/// After a failed write the contents of the disk are unknown, so the process exits; the next start reads them again.
function exitAfterDiskFailure (log: ProcessLog, run: RunRecord, error: Error): void {
  run.end(formatError(error), 1)
  log.event(Events.processStopped, { reason: formatError(error) })
  log.flush()
  process.exit(1)
}
