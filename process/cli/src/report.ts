/// The results of one simulated day, as a journal entry records them.
export interface DayReport {
  readonly playedAt: string
  readonly command: string
  readonly site: string
  readonly day: string
  readonly score: number
  readonly worth: number
  readonly served: number
  readonly brokenRules: readonly string[]
  readonly passedGate: boolean
  /// The causes that reduced the worth most, largest first.
  readonly prices: readonly { readonly what: string, readonly worth: number }[]
}

const maxPrices = 3
const barWidth = 30

/// Parses journal entries and returns their days in order of time. Throws on text that is not JSON.
export function parseReports (entries: readonly string[]): DayReport[] {
  return entries.flatMap(parseEntry).sort((a, b) => a.playedAt.localeCompare(b.playedAt))
}

function parseEntry (text: string): DayReport[] {
  const entry = JSON.parse(text) as JournalEntry
  return (entry.days ?? []).map(day => ({
    playedAt: entry.at[0],
    command: entry.cmd,
    site: entry.site,
    day: day.name,
    score: day.score ?? 0,
    worth: day.G ?? 0,
    served: day.served ?? 0,
    brokenRules: Object.keys(day.rules ?? {}),
    passedGate: day.gate ?? false,
    prices: [...day.prices ?? []].sort((a, b) => b[2] - a[2]).slice(0, maxPrices)
      .map(([what, , worth]) => ({ what, worth }))
  }))
}

/// The fields of a journal entry that the report uses. `G` is the worth of a day.
interface JournalEntry {
  readonly at: readonly [string, string]
  readonly cmd: string
  readonly site: string
  readonly days?: readonly {
    readonly name: string
    readonly score?: number | null
    readonly G?: number | null
    readonly served?: number | null
    readonly rules?: Readonly<Record<string, unknown>> | null
    readonly gate?: boolean | null
    readonly prices?: readonly (readonly [string, number, number])[] | null
  }[]
}

/// Formats one line per day, with a bar proportional to its worth.
export function formatReports (reports: readonly DayReport[]): string {
  return reports.map(({ playedAt, site, day, score, worth, brokenRules, passedGate, prices }) => {
    const bar = '#'.repeat(Math.round(Math.min(Math.max(worth, 0), 1) * barWidth)).padEnd(barWidth)
    const gate = brokenRules.length > 0 ? `broken ${brokenRules.join(',')}` : passedGate ? 'gate' : 'short'
    const costs = prices.map(price => `${price.what} ${price.worth.toFixed(3)}`).join(', ')
    return `${playedAt} ${site.padEnd(16)} ${day.padEnd(14)} ${score.toFixed(2)} |${bar}| ${worth.toFixed(3)} ${gate}; ${costs}`
  }).join('\n')
}
