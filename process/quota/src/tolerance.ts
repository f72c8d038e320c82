import type { Quota } from '#version/configuration'
import { getCapacity } from './tokenbucket.js'

/// How far the requests that run in a window may exceed a quota.
export interface QuotaTolerance {
  readonly windowMs: number
  /// Share of what the quota allows in a window.
  readonly overshootShare: number
  readonly slackRequests: number
}

/// Without settings for it.
export const noTolerance: QuotaTolerance = { windowMs: 1000, overshootShare: 0, slackRequests: 0 }

/// Returns how many requests may exceed the quota in a window, at all entries together.
export function countTolerated (quota: Quota, { windowMs, overshootShare, slackRequests }: QuotaTolerance): number {
  return overshootShare * (quota.ratePerS * windowMs / 1000 + getCapacity(quota)) + slackRequests
}
