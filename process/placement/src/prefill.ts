import type { Instance } from '#process/instances'

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
