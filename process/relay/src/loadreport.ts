import type { DatagramFields } from '#connection/datagram'

/// What an entry tells another one about itself.
export interface LoadReport {
  readonly name: string
  /// How long a call is expected to take in its event loop.
  readonly expectedMs: number
  /// Version of the configuration in force there, 0 for none.
  readonly configVersion: number
  /// Whether it takes relayed connections.
  readonly isReady: boolean
  /// Whether the other entry should report its load in return.
  readonly isQuery: boolean
  /// The processors of the entries that have lately asked it for reports, together: they may relay to it.
  readonly askersProcessors: number
}

/// The type of datagrams that hold a load report.
export const loadReportType = 'load'

/// Returns null if the fields are not those of a load report.
export function parseLoadReport (fields: DatagramFields): LoadReport | null {
  const { name, expectedMs, configVersion, isReady, isQuery, askersProcessors } = fields
  if (typeof name !== 'string' || !isCount(expectedMs) || !isCount(configVersion)) return null
  return {
    name,
    expectedMs,
    configVersion,
    isReady: isReady === true,
    isQuery: isQuery === true,
    askersProcessors: isCount(askersProcessors) ? askersProcessors : 0
  }
}

function isCount (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}
