/// What one process says of itself on its metrics address.
export interface ProcessStatus {
  readonly address: string
  /// Null where it didn't answer, with the reason beside.
  readonly values: Readonly<Record<string, number>> | null
  readonly reason: string
}

const prefix = 'chicorynotch_'

/// Reads the text exposition format: a name with its labels, a space, a number.
export function readMetrics (text: string): Record<string, number> {
  const values: Record<string, number> = {}
  for (const line of text.split('\n')) {
    const space = line.lastIndexOf(' ')
    if (space <= 0 || line.startsWith('#')) continue
    const name = line.slice(0, space)
    values[name.startsWith(prefix) ? name.slice(prefix.length) : name] = Number(line.slice(space + 1))
  }
  return values
}

/// Asks all processes at once.
export async function readStatus (
  addresses: readonly string[],
  fetchText: (url: string) => Promise<string>
): Promise<ProcessStatus[]> {
  return await Promise.all(addresses.map(async address => {
    try {
      return { address, values: readMetrics(await fetchText(`http://${address}/metrics`)), reason: '' }
    } catch (error) {
      return { address, values: null, reason: error instanceof Error ? error.message : String(error) }
    }
  }))
}

/// A line for each process: what is under way, then refusals and latencies.
export function formatStatus (statuses: readonly ProcessStatus[]): string {
  return statuses.map(({ address, values, reason }) => {
    if (values === null) return `${address} no answer: ${reason}`
    const shown = Object.entries(values).filter(([name]) => !name.endsWith('_count'))
    return `${address} ${shown.map(([name, value]) => `${name}=${value}`).join(' ')}`
  }).join('\n')
}
