import { RefusedError, Verdict } from '#request/call'
import type { RoutedCall } from '#request/forward'
import { RouteKind } from '#version/configuration'
import type { Admission } from '#process/admission'
import type { Credit, WorkspaceQuotas } from '#process/quota'

/// Share of its latency target that a call may wait for credit that is due.
const maxWaitShare = 0.25

/// Resolves to credit for the call in the quota of its workspace. Rejects with `RefusedError`. Returns null if the call
/// needs none.
export function acquireCredit (
  { call, route, workspace, signal }: Pick<RoutedCall, 'call' | 'route' | 'workspace' | 'signal'>,
  quotas: Pick<WorkspaceQuotas, 'acquire'>,
  admission: Pick<Admission, 'hasStartedProgram'>
): Promise<Credit> | null {
  if (workspace === null || workspace.quota === null || route.isPublic) return null
  const isContinuing = route.kind !== RouteKind.streaming || call.previousTurnId !== null ||
    (call.program !== null && admission.hasStartedProgram(call.program.id))
  return quotas.acquire(workspace, { isContinuing, maxWaitMs: route.targetLatencyMs * maxWaitShare, signal })
}

/// Must be called when the call has failed: its credit is given back if it is proven that it did not run.
export function settleFailed (credit: Credit | null, error: unknown): void {
  if (error instanceof RefusedError && error.verdict === Verdict.notRun) credit?.giveBack()
  else credit?.spend()
}
