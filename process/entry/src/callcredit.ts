import { RefusedError, Verdict } from '#request/call'
import type { RoutedCall } from '#request/forward'
import { RouteKind } from '#version/configuration'
import type { Admission } from '#process/admission'
import type { Credit, WorkspaceQuotas } from '#process/quota'

/// Share of its latency target that a call may wait for credit that is due. A refused call comes back no
/// earlier than credit is due, so the wait costs a program that has begun no time, and saves one of its retries.
const startingWaitShare = 0.25
const continuingWaitShare = 1

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
  const maxWaitMs = route.targetLatencyMs * (isContinuing ? continuingWaitShare : startingWaitShare)
  return quotas.acquire(workspace, { isContinuing, maxWaitMs, signal })
}

/// Must be called when the call has failed: its credit is given back if it is proven that it did not run.
export function settleFailed (credit: Credit | null, error: unknown): void {
  if (error instanceof RefusedError && error.verdict === Verdict.notRun) credit?.giveBack()
  else credit?.spend()
}
