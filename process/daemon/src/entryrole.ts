import { Entry } from '#process/entry'
import { noTolerance } from '#process/quota'
import type { QuotaTolerance } from '#process/quota'
import type { Settings } from '#process/settings'
import type { DaemonRole, RoleContext } from './role.js'

/// Accepts calls.
export function createEntryRole ({ settings, platform, log, metrics, backlog, stopping }: RoleContext): DaemonRole {
  const entry = new Entry({
    name: settings.node.name,
    zone: settings.node.zone,
    processors: countProcessors(settings),
    memoryMb: settings.node.memory_mb ?? null,
    maxDescriptors: settings.node.max_descriptors,
    callersAddress: settings.listen.callers!,
    relayAddress: `${settings.node.ip}:${settings.listen.peer_port}`,
    readinessAddress: settings.listen.readiness!,
    readinessPath: settings.listen.readiness_path ?? '/ready',
    toleratedLosses: settings.node.tolerated_losses,
    stopGraceMs: settings.timing.stop_grace_ms,
    quotaTolerance: getQuotaTolerance(settings)
  }, platform, log, metrics, backlog)
  return {
    start: () => entry.start(stopping),
    stop: askedAtMs => entry.stop(askedAtMs),
    get calls () { return { inFlight: entry.drain.count, aborted: entry.drain.abortedCount } },
    reload: changed => entry.reload({ processors: countProcessors(changed), stopGraceMs: changed.timing.stop_grace_ms })
  }
}

function getQuotaTolerance ({ quota }: Settings): QuotaTolerance {
  if (quota === undefined) return noTolerance
  const { window_ms: windowMs, overshoot_share: overshootShare, slack_requests: slackRequests } = quota
  return { windowMs, overshootShare, slackRequests }
}

function countProcessors ({ node }: Settings): number {
  return (node.processor_share ?? 1) * (node.processor_speed ?? 1)
}
