/// Whether a request may have run: `notRun` is only said when proved.
export const Verdict = {
  notRun: 'not-run',
  ran: 'ran',
  mayHaveRun: 'may-have-run'
} as const

export type Verdict = typeof Verdict[keyof typeof Verdict]

const verdicts: ReadonlySet<string> = new Set(Object.values(Verdict))

/// Reads a verdict from the wire. Anything unknown reads as `may-have-run`,
/// the only verdict that promises nothing.
export function parseVerdict (text: string): Verdict {
  return verdicts.has(text) ? text as Verdict : Verdict.mayHaveRun
}
