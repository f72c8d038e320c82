import { UpstreamFault } from '#standin/upstream'
import type { ExecutedRequest, StandinUpstream } from '#standin/upstream'
import type { Observations, Run } from './observations.js'

/// Faults with which the instance breaks off what it has begun.
const breakingFaults: readonly UpstreamFault[] = [
  UpstreamFault.responseLost, UpstreamFault.broken, UpstreamFault.unframedReset
]

/// Records the runs of an instance.
export function observeRuns (upstream: StandinUpstream, { runs }: Observations): void {
  const open = new Map<ExecutedRequest, Run>()
  const breaksOff = (): boolean => breakingFaults.some(fault => fault === upstream.fault)
  upstream.onRun = request => {
    const instanceId = upstream.options.id
    const run = { instanceId, startedAtMs: performance.now(), endedAtMs: Infinity, isBrokenOff: breaksOff() }
    open.set(request, run)
    runs.set(request.callId, [...runs.get(request.callId) ?? [], run])
  }
  upstream.onDone = request => {
    const run = open.get(request)
    // A probe that began before it was observed.
    if (run === undefined) return
    run.endedAtMs = performance.now()
    run.isBrokenOff ||= breaksOff()
    open.delete(request)
  }
}
