import { StatusServer } from '#connection/front'
import { keepListening } from '#connection/listen'
import { LoopMonitor, callAfterReading, readCpuMs } from '#process/clock'
import { getLaunchReport } from '#process/launcher'
import { Events, ProcessLog, errorMessage, formatError } from '#process/log'
import type { EventFields } from '#process/log'
import { Metrics } from '#process/metrics'
import { RunRecord, locateRunRecord } from '#process/runrecord'
import { ReloadTrigger, Role, openSettings } from '#process/settings'
import type { Settings, SettingsFile } from '#process/settings'
import { SignalUse, getProcessSignals } from '#process/signals'
import type { ProcessSignals, SignalName } from '#process/signals'
import { createEntryRole } from './entryrole.js'
import type { ConnectedPlatform, DaemonRole, RoleContext } from './role.js'
import { createStorageRole } from './storagerole.js'

/// Connects a daemon to the services of its platform.
export interface DaemonPlatform {
  readonly connect: (settings: Settings, log: ProcessLog, metrics: Metrics) => ConnectedPlatform
}

const sidecarRole: DaemonRole = {
  start: async () => { throw new Error('the sidecar role is not implemented') },
  reload: () => {},
  stop: async () => {}
}

const createByRole: Readonly<Record<Role, (context: RoleContext) => DaemonRole>> = {
  entry: createEntryRole,
  storage: createStorageRole,
  sidecar: () => sidecarRole
}

/// Starts the role given in the settings file. Waits while the settings are invalid. At a signal that asks for it the
/// process stops the role, also one that is still starting, and exits with status 0, or 1 if that fails. A changed
/// settings file takes effect with SIGHUP or without. Uncaught errors are logged and do not end the process.
export async function runDaemon (settingsFile: string, platform: DaemonPlatform): Promise<void> {
  const signals = getProcessSignals()
  const file = await awaitSettings(settingsFile, signals)
  await new Daemon(file, signals).run(platform)
}

/// Ends the process if it is asked to stop meanwhile.
async function awaitSettings (path: string, signals: ProcessSignals): Promise<SettingsFile> {
  const log = new ProcessLog(`pid-${process.pid}`, 'unknown')
  const stopping = new AbortController()
  signals.listen(SignalUse.stop, ({ name }) => stopping.abort(name))
  const onRejected = (error: unknown): void => {
    log.event(Events.settingsRejected, { file: path, trigger: ReloadTrigger.start, error: errorMessage(error) })
  }
  try {
    const file = await openSettings(path, { signal: stopping.signal, onRejected })
    stopping.signal.throwIfAborted()
    return file
  } catch (error) {
    const { aborted, reason } = stopping.signal
    if (!aborted) throw error
    log.event(Events.processStopping, { signal: reason, uptimeMs: Math.round(performance.now()), wasReady: false })
    log.event(Events.processStopped, { reason, exitCode: 0 })
    log.flush()
    process.exit(0)
  }
}

/// The process, from the moment at which its settings are known.
class Daemon {
  private readonly log: ProcessLog
  private readonly metrics = new Metrics()
  private readonly record: RunRecord
  /// Aborted with the name of the signal that asks for it.
  private readonly stopping = new AbortController()
  private readonly monitor: LoopMonitor
  private isRoleStarted = false
  private isReady = false

  constructor (private readonly file: SettingsFile, private readonly signals: ProcessSignals) {
    const { node } = file.settings
    this.log = new ProcessLog(node.name, node.role)
    this.monitor = this.monitorLoop()
    this.record = RunRecord.open(locateRunRecord(file.settings), node.memory_mb ?? null)
  }

  async run (platform: DaemonPlatform): Promise<void> {
    const { log, metrics, file } = this
    const { settings } = file
    this.observeProcess()
    const connected = platform.connect(settings, log, metrics)
    const role = createByRole[settings.node.role]({
      settings,
      platform: connected,
      log,
      metrics,
      backlog: this.monitor,
      stopping: this.stopping.signal,
      fail: error => this.exit(1, formatError(error))
    })
    // Signals that came while the program was loaded are handled before the role starts.
    const starting = new Promise<void>(resolve => callAfterReading(resolve)).then(() => this.start(role))
    this.signals.listen(SignalUse.none, ({ name }) => log.event(Events.signalIgnored, { signal: name }))
    this.signals.listen(SignalUse.stop, ({ name }) => this.handleStop(name, starting, role))
    file.watch(changed => {
      connected.reload(changed)
      role.reload(changed)
    }, log, this.signals)
    await starting
  }

  private observeProcess (): void {
    const { log, metrics, record } = this
    const { codeCacheProblem = null } = getLaunchReport() ?? {}
    if (codeCacheProblem !== null) log.event(Events.codeCacheUnused, { reason: codeCacheProblem })
    log.event(Events.previousRunEnded, { ...record.previous })
    // A process that is killed soon must not lose this line.
    log.flush()
    metrics.addGauge(`previous_run{how="${record.previous.how}"}`, () => 1)
    metrics.addGauge('cpu_ms_total', () => Math.round(readCpuMs()))
    process.on('uncaughtException', error => {
      log.event(Events.unexpectedError, { where: 'process', error: formatError(error), stack: error.stack })
    })
    process.on('unhandledRejection', error => {
      log.event(Events.unexpectedError, { where: 'promise', error: formatError(error) })
    })
  }

  private monitorLoop (): LoopMonitor {
    const { log, metrics } = this
    return new LoopMonitor({
      onDelay: delayMs => metrics.observeMs('event_loop_delay', delayMs),
      onStall: lateMs => log.event(Events.processStalled, { lateMs }),
      onLoad: load => log.event(Events.processLoad, { ...load })
    })
  }

  /// Never rejects.
  private async start (role: DaemonRole): Promise<void> {
    const { node, listen } = this.file.settings
    if (this.stopping.signal.aborted) return
    this.isRoleStarted = true
    this.serveMetrics(`${node.ip}:${listen.metrics_port}`)
    try {
      await role.start()
    } catch (error) {
      if (this.stopping.signal.aborted) return
      const reason = formatError(error)
      this.log.event(Events.startFailed, { reason })
      this.exit(1, reason)
    }
    if (this.stopping.signal.aborted) return
    this.isReady = true
    this.record.setReady()
    this.log.event(Events.processStarted, {
      role: node.role,
      zone: node.zone,
      pid: process.pid,
      startMs: Math.round(performance.now())
    })
    this.log.flush()
  }

  /// The role serves without it, too, if the address can't be bound.
  private serveMetrics (address: string): void {
    const server = new StatusServer({ '/metrics': () => ({ status: 200, text: this.metrics.toText() }) })
    const signal = this.stopping.signal
    keepListening(server, { name: 'metrics', address, log: this.log, signal }).catch((error: unknown) => {
      if (!signal.aborted) throw error
    })
  }

  private handleStop (signal: SignalName, starting: Promise<void>, role: DaemonRole): void {
    const { log, stopping } = this
    if (stopping.signal.aborted) {
      log.event(Events.signalIgnored, { signal, reason: `already stopping after ${stopping.signal.reason}` })
      return
    }
    stopping.abort(signal)
    // The grace time began when the signal was sent, which the event loop may have learned late.
    const lateMs = this.monitor.currentDelayMs
    const askedAtMs = performance.now() - lateMs
    log.event(Events.processStopping, {
      signal,
      uptimeMs: Math.round(performance.now()),
      lateMs: Math.round(lateMs),
      wasReady: this.isReady,
      callsInFlight: role.calls?.inFlight,
      graceMs: this.file.settings.timing.stop_grace_ms
    })
    this.record.setStopping(signal)
    starting.then(() => this.isRoleStarted ? role.stop(askedAtMs) : undefined).then(() => {
      this.exit(0, signal, { stopMs: Math.round(performance.now() - askedAtMs), callsAborted: role.calls?.aborted })
    }, (error: unknown) => {
      log.event(Events.unexpectedError, { where: 'stop', error: formatError(error) })
      this.exit(1, formatError(error))
    })
  }

  private exit (exitCode: number, reason: string, details: EventFields = {}): void {
    this.record.end(reason, exitCode)
    this.log.event(Events.processStopped, { reason, exitCode, ...details })
    this.log.flush()
    process.exit(exitCode)
  }
}
