/// Whether a request may have run: `notRun` is only said when proved.
export const Verdict = {
  notRun: 'not-run',
  ran: 'ran',
  mayHaveRun: 'may-have-run'
} as const

export type Verdict = typeof Verdict[keyof typeof Verdict]
