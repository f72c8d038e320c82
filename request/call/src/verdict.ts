/// Whether a request may have run. `notRun` is used only if that is proven.
export const Verdict = {
  notRun: 'not-run',
  ran: 'ran',
  mayHaveRun: 'may-have-run'
} as const

export type Verdict = typeof Verdict[keyof typeof Verdict]
