import type { Instance } from '#process/instances'

/// Prompts beyond this number of uncached tokens are long: they take several of the chunks in which engines process
/// prompts between the tokens of other calls.
const longPromptTokens = 4096
/// Share of its latency target, and of the time that it may wait at all, for which a long prompt waits for that limit.
const waitTargetShare = 0.15
const waitLimitShare = 0.5

/// Prompt tokens that the instance still has to process for calls of this process before their first events.
export function estimatePendingTokens (instance: Instance, nowMs: number): number {
  let tokens = 0
  let startedAtMs = nowMs
  for (const prefill of instance.prefills) {
    tokens += prefill.tokens
    startedAtMs = Math.min(startedAtMs, prefill.startedAtMs)
  }
  if (tokens === 0) return 0
  const tokensPerMs = instance.model.prefillTokensPerMs / instance.speed.getFactor(nowMs)
  return Math.max(0, tokens - (nowMs - startedAtMs) * tokensPerMs)
}

/// Whether an instance that has to process `pendingTokens` should get a prompt with `uncachedTokens` now: a long one
/// waits until little is left of others. Short prompts are never held back.
export function allowsPrefill (pendingTokens: number, uncachedTokens: number): boolean {
  return uncachedTokens <= longPromptTokens || pendingTokens <= longPromptTokens
}

/// How long a call may be held back because of its long prompt. Afterwards it is placed as any other.
export function getMaxPrefillWaitMs (targetLatencyMs: number, maxWaitMs: number): number {
  return Math.min(targetLatencyMs * waitTargetShare, maxWaitMs * waitLimitShare)
}
