import { credentials } from '@grpc/grpc-js'
import type { ChannelCredentials, ChannelOptions } from '@grpc/grpc-js'
import { EntryPeerClient } from './generated/chicorynotch/v1/entry.js'
import { ProcessClient } from './generated/chicorynotch/v1/process.js'
import { SidecarClient } from './generated/chicorynotch/v1/sidecar.js'
import type { EntryPort, ProcessPort, SidecarPort } from './port.js'
import { callUnary, readStream } from './unary.js'

/// How to reach a peer.
export interface ConnectOptions {
  readonly credentials?: ChannelCredentials
  /// For questions that are answered from memory.
  readonly shortTimeoutMs?: number
  /// For requests that wait for a commit.
  readonly longTimeoutMs?: number
}

/// A connection that is opened on first use and reopened when it was lost.
export interface Connection {
  close (): void
}

export type EntryConnection = EntryPort & ProcessPort & Connection
export type SidecarConnection = SidecarPort & ProcessPort & Connection

const maxMessageBytes = 16 << 20

const defaultShortTimeoutMs = 1000
const defaultLongTimeoutMs = 30_000

/// A stopped peer keeps its sockets open, so only unanswered pings show that a
/// stream to it is dead.
const channelOptions: ChannelOptions = {
  'grpc.enable_http_proxy': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.max_receive_message_length': maxMessageBytes,
  'grpc.max_send_message_length': maxMessageBytes,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  'grpc.keepalive_time_ms': 2000,
  'grpc.keepalive_timeout_ms': 2000
}

/// Connects to an entry at `IP:port`.
export function connectEntry (address: string, options: ConnectOptions = {}): EntryConnection {
  const peer = new EntryPeerClient(address, options.credentials ?? credentials.createInsecure(), channelOptions)
  const { shortTimeoutMs = defaultShortTimeoutMs, longTimeoutMs = defaultLongTimeoutMs } = options
  return {
    ...connectProcess(address, options),
    open: request => callUnary(peer.open.bind(peer), request, longTimeoutMs),
    call: request => readStream(peer.call.bind(peer), request),
    end: request => callUnary(peer.end.bind(peer), request, longTimeoutMs),
    show: request => callUnary(peer.show.bind(peer), request, shortTimeoutMs),
    list: request => callUnary(peer.list.bind(peer), request, shortTimeoutMs),
    settle: request => callUnary(peer.settle.bind(peer), request, longTimeoutMs),
    probe: request => callUnary(peer.probe.bind(peer), request, shortTimeoutMs),
    handOver: request => callUnary(peer.handOver.bind(peer), request, longTimeoutMs),
    close: () => peer.close()
  }
}

/// Connects to a sidecar at `IP:port`.
export function connectSidecar (address: string, options: ConnectOptions = {}): SidecarConnection {
  const peer = new SidecarClient(address, options.credentials ?? credentials.createInsecure(), channelOptions)
  const { shortTimeoutMs = defaultShortTimeoutMs, longTimeoutMs = defaultLongTimeoutMs } = options
  return {
    ...connectProcess(address, options),
    dispatch: request => readStream(peer.dispatch.bind(peer), request),
    attach: request => readStream(peer.attach.bind(peer), request),
    inquire: request => callUnary(peer.inquire.bind(peer), request, shortTimeoutMs),
    acknowledge: request => callUnary(peer.acknowledge.bind(peer), request, shortTimeoutMs),
    release: request => callUnary(peer.release.bind(peer), request, longTimeoutMs),
    report: request => callUnary(peer.report.bind(peer), request, shortTimeoutMs),
    close: () => peer.close()
  }
}

// Channels to the same address share one connection inside the library.
function connectProcess (address: string, options: ConnectOptions): ProcessPort {
  const peer = new ProcessClient(address, options.credentials ?? credentials.createInsecure(), channelOptions)
  const { shortTimeoutMs = defaultShortTimeoutMs } = options
  return {
    events: request => callUnary(peer.events.bind(peer), request, shortTimeoutMs),
    configure: request => callUnary(peer.configure.bind(peer), request, shortTimeoutMs)
  }
}
