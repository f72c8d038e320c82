import type { ExecutedRequest, StandinUpstream } from '#standin/upstream'
import type { Observations, Run } from './observations.js'

/// Records the runs of an instance.
export function observeRuns (upstream: StandinUpstream, { runs }: Observations): void {
  const open = new Map<ExecutedRequest, Run>()
  upstream.onRun = request => {
    const instanceId = upstream.options.id
    const run = { instanceId, startedAtMs: performance.now(), endedAtMs: Infinity, isBrokenOff: false }
    open.set(request, run)
    runs.set(request.callId, [...runs.get(request.callId) ?? [], run])
  }
  upstream.onBreakOff = request => {
    const run = open.get(request)
    if (run !== undefined) run.isBrokenOff = true
  }
  upstream.onDone = request => {
    const run = open.get(request)
    // A probe that began before it was observed.
    if (run === undefined) return
    run.endedAtMs = performance.now()
    open.delete(request)
  }
}
