export { InvalidCallError } from './call.js'
export type { Call, PrefixPart, ProgramRef, TokenUsage } from './call.js'
export { Refusal, RefusedError } from './refusal.js'
export { Verdict } from './verdict.js'
