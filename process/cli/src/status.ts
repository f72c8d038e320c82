/// The metrics of one process, read from its metrics address.
export interface ProcessStatus {
  readonly address: string
  /// Null if the request failed; `reason` then says why, and is empty otherwise.
  readonly values: Readonly<Record<string, number>> | null
  readonly reason: string
}

const prefix = 'chicorynotch_'

/// Parses the Prometheus text format: on each line a name with its labels, a space and a number.
export function parseMetrics (text: string): Record<string, number> {
  const values: Record<string, number> = {}
  for (const line of text.split('\n')) {
    const space = line.lastIndexOf(' ')
    if (space <= 0 || line.startsWith('#')) continue
    const name = line.slice(0, space)
    values[name.startsWith(prefix) ? name.slice(prefix.length) : name] = Number(line.slice(space + 1))
  }
  return values
}

/// Queries all processes concurrently.
export async function fetchStatuses (
  addresses: readonly string[],
  fetchText: (url: string) => Promise<string>
): Promise<ProcessStatus[]> {
  return await Promise.all(addresses.map(async address => {
    try {
      return { address, values: parseMetrics(await fetchText(`http://${address}/metrics`)), reason: '' }
    } catch (error) {
      return { address, values: null, reason: error instanceof Error ? error.message : String(error) }
    }
  }))
}

/// Formats one line per process with all of its metrics but the sample counts of latencies.
export function formatStatuses (statuses: readonly ProcessStatus[]): string {
  return statuses.map(({ address, values, reason }) => {
    if (values === null) return `${address} no response: ${reason}`
    const shown = Object.entries(values).filter(([name]) => !name.endsWith('_count'))
    return `${address} ${shown.map(([name, value]) => `${name}=${value}`).join(' ')}`
  }).join('\n')
}
