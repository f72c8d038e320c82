import type { LedgerRecord } from '#connection/rpc'

/// Which turns a call may continue from.
export interface TurnAccess {
  /// The workspace of the call; null without one.
  readonly workspace: string | null
  /// False if the configuration has no workspaces: then any turn.
  readonly isRestricted: boolean
}

/// Whether the call may read the turn. Turns without a workspace are of public routes, of a configuration without
/// workspaces or of a version of the system that didn't record any: every call may read them.
export function mayRead (turn: LedgerRecord, { workspace, isRestricted }: TurnAccess): boolean {
  const owner = turn.workspace ?? ''
  return !isRestricted || owner === '' || owner === workspace
}

/// Returns the name of a program's token account. Workspaces choose the ids of their programs independently, so each
/// has accounts of its own. No header field can contain the separator.
export function createAccountId (programId: string, workspace: string | null): string {
  return workspace === null ? programId : `${workspace}\n${programId}`
}
