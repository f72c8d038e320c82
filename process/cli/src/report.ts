/// One day that was played, as a journal entry tells of it.
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
  /// What took most from the worth, largest first.
  readonly prices: readonly { readonly what: string, readonly worth: number }[]
}

const shownPrices = 3
const barWidth = 30

/// Reads journal entries in order of time. Rejects text that is none.
export function readReports (entries: readonly string[]): DayReport[] {
  return entries.flatMap(readEntry).sort((a, b) => a.playedAt.localeCompare(b.playedAt))
}

function readEntry (text: string): DayReport[] {
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
    prices: [...day.prices ?? []].sort((a, b) => b[2] - a[2]).slice(0, shownPrices)
      .map(([what, , worth]) => ({ what, worth }))
  }))
}

/// The fields of a journal entry that are read; `G` is a day's worth.
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

/// A line for each day, with a bar as long as its worth.
export function formatReports (reports: readonly DayReport[]): string {
  return reports.map(({ playedAt, site, day, score, worth, brokenRules, passedGate, prices }) => {
    const bar = '#'.repeat(Math.round(Math.min(Math.max(worth, 0), 1) * barWidth)).padEnd(barWidth)
    const gate = brokenRules.length > 0 ? `broken ${brokenRules.join(',')}` : passedGate ? 'gate' : 'short'
    const costs = prices.map(price => `${price.what} ${price.worth.toFixed(3)}`).join(', ')
    return `${playedAt} ${site.padEnd(16)} ${day.padEnd(14)} ${score.toFixed(2)} |${bar}| ${worth.toFixed(3)} ${gate}; ${costs}`
  }).join('\n')
}
