import { findRequestTarget } from '#connection/header'
import type { HeaderCodec } from '#connection/header'
import type { RouteTable } from '#version/configuration'

/// Returns how long after its arrival a request with this head must have its response.
export function findCallTimeoutMs (head: string, codec: HeaderCodec, routes: RouteTable | null): number {
  const target = findRequestTarget(head)
  const route = target === null ? null : routes?.find(target.host, target.path)
  return Math.min(codec.findCallerTimeoutMs(head), route?.timeoutMs ?? Infinity)
}
