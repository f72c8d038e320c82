export { InvalidCallError } from './call.js'
export type { Call, PrefixPart, ProgramRef, TokenUsage } from './call.js'
export { Refusal, RefusedError } from './outcome.js'
export { Verdict } from './verdict.js'
