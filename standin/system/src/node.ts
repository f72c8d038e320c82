import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'

/// One process of the system. Addresses are HOST:PORT.
export interface SystemNode {
  readonly name: string
  readonly role: 'entry' | 'storage'
  readonly callersAddress: string
  readonly readinessAddress: string
  readonly dataDir: string
  readonly zone: string
  readonly peerPort: number
  readonly metricsPort: number
  readonly runRecordFile: string
  /// What the process connects to the store from, if it has a machine of the stand-in.
  readonly localAddress: string
  process: ChildProcess
  /// Lines of standard output and standard error, also of earlier runs.
  readonly outputLines: string[]
}

export interface NodeSettings {
  readonly isFirstStart: boolean
  readonly toleratedLosses: number
  readonly storeAddress: string
  /// Time between SIGTERM and SIGKILL.
  readonly stopGraceMs: number | undefined
  /// Undefined without a limit.
  readonly memoryMb: number | undefined
}

/// How a process is started.
export interface LaunchOptions {
  /// Program and arguments that start the daemon.
  readonly command: readonly string[]
  /// Whether `command` runs the daemon on a machine of the stand-in, which takes messages.
  readonly hasMachines?: boolean
  /// Inserted before the arguments of `command`, for the Node.js runtime.
  readonly nodeArguments?: readonly string[]
}

const heartbeatMs = 1200
const defaultStopGraceMs = 4000
/// Of the machines for storage instances.
const diskMb = 510

/// The text of a node's settings file.
export function formatSettings (node: SystemNode, settings: NodeSettings): string {
  const { isFirstStart, toleratedLosses, storeAddress, stopGraceMs = defaultStopGraceMs, memoryMb } = settings
  return `[node]
name = "${node.name}"
role = "${node.role}"
zone = "${node.zone}"
ip = "127.0.0.1"
first_start = ${isFirstStart}
${memoryMb === undefined ? '' : `memory_mb = ${memoryMb}`}
tolerated_losses = ${toleratedLosses}
[listen]
callers = "${node.callersAddress}"
readiness = "${node.readinessAddress}"
readiness_path = "/readyz"
peer_port = ${node.peerPort}
metrics_port = ${node.metricsPort}
[store]
address = "${storeAddress}"
[storage]
data_dir = "${node.dataDir}"
disk_mb = ${diskMb}
[timing]
stop_grace_ms = ${stopGraceMs}
drain_ms = 2000
catch_up_ms = 4900
heartbeat_ms = ${heartbeatMs}
`
}

/// Starts the process of a node, whose output is added to that of earlier runs.
export function launch (node: SystemNode, settingsPath: string, options: LaunchOptions): ChildProcess {
  const { command: [program, ...args], hasMachines = false, nodeArguments = [] } = options
  const child = spawn(program!, [...nodeArguments, ...args], {
    env: {
      ...process.env,
      CHICORYNOTCH_CONFIG: settingsPath,
      ...hasMachines ? { STANDIN_LOCAL_ADDRESS: node.localAddress } : {}
    },
    stdio: ['ignore', 'pipe', 'pipe', ...hasMachines ? ['ipc' as const] : []]
  })
  // A message to a process that ends.
  if (hasMachines) child.on('error', () => {})
  const collect = (text: Buffer): void => { node.outputLines.push(...text.toString('utf8').split('\n').filter(line => line !== '')) }
  child.stdout!.on('data', collect)
  child.stderr!.on('data', collect)
  return child
}

/// Whether an entry says at its readiness address that it is ready.
export async function isReady (address: string): Promise<boolean> {
  try {
    return (await fetch(`http://${address}/readyz`)).ok
  } catch {
    return false
  }
}

/// Resolves when the process has ended.
export function terminate (child: ChildProcess, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
  return new Promise(resolve => {
    if (child.exitCode !== null || child.signalCode !== null) return resolve()
    child.once('exit', () => resolve())
    child.kill(signal)
  })
}
