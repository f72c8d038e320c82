import { retry } from '#process/clock'
import { Events, formatError } from '#process/log'
import type { EventLog } from '#process/log'

/// A server of connections or datagrams.
export interface Listener {
  /// Takes HOST:PORT. Rejects if the address can't be bound, and may then be called again.
  listen (address: string): Promise<unknown>
  /// Calls `handle` with errors of the bound server, such as a connection that can't be accepted. They do not end it.
  onError (handle: (error: Error) => void): void
}

export interface ListenOptions {
  /// What the listener serves, for the log.
  readonly name: string
  /// HOST:PORT.
  readonly address: string
  readonly log: EventLog
  /// Ends the attempts.
  readonly signal: AbortSignal
}

const retryDelayMs = 100

/// Binds a listener to its address, again and again while another process has the port or the machine doesn't have the
/// address yet. Rejects with the signal's reason if it is aborted before.
export async function keepListening (listener: Listener, { name, address, log, signal }: ListenOptions): Promise<void> {
  const startedAtMs = performance.now()
  let hasFailed = false
  const onFailure = (error: unknown): void => {
    hasFailed = true
    log.event(Events.listenFailed, { listener: name, address, error: formatError(error) })
  }
  await retry(() => listener.listen(address), { delayMs: retryDelayMs, signal, onFailure })
  listener.onError(error => log.event(Events.listenerFailed, { listener: name, address, error: formatError(error) }))
  if (hasFailed) {
    const waitedMs = Math.round(performance.now() - startedAtMs)
    log.event(Events.listenRecovered, { listener: name, address, waitedMs })
  }
}
