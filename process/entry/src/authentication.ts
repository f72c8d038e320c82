import { Refusal, RefusedError, Verdict } from '#request/call'
import type { Workspace, Workspaces } from '#version/configuration'

/// What decides whose call it is.
export interface AuthenticationRequest {
  /// Null if the caller sent none.
  readonly key: string | null
  /// Whether the call's route is public.
  readonly isPublic: boolean
  /// Of the configuration in force; null if calls need no key.
  readonly workspaces: Workspaces | null
  /// Whether there may be a newer configuration than the one in force. Read only for an unknown key, since finding it
  /// out takes time.
  readonly mayBeOutdated: boolean
}

/// What `authenticate` has found out.
export type AuthenticationOutcome =
  /// `workspace` is null if the call needs no key.
  | { readonly kind: 'accepted', readonly workspace: Workspace | null }
  | { readonly kind: 'missing-key' }
  | { readonly kind: 'unknown-key' }
  /// The key is unknown, but may have been added by a newer configuration.
  | { readonly kind: 'undecided' }

/// The entry asks the store within 150 ms when it learns that it is behind, and a retry usually goes to another entry.
const undecidedRetryMs = 200

/// Finds the workspace that a call counts for. The key of a call on a public route is not looked at.
export function authenticate (request: AuthenticationRequest): AuthenticationOutcome {
  const { key, isPublic, workspaces } = request
  if (workspaces === null || isPublic) return { kind: 'accepted', workspace: null }
  if (key === null) return { kind: 'missing-key' }
  const workspace = workspaces.findByKey(key)
  if (workspace !== null) return { kind: 'accepted', workspace }
  return { kind: request.mayBeOutdated ? 'undecided' : 'unknown-key' }
}

/// Returns the workspace of a call, null if it needs none. Throws `RefusedError`; its message doesn't contain the key.
export function findWorkspace (request: AuthenticationRequest): Workspace | null {
  const outcome = authenticate(request)
  switch (outcome.kind) {
    case 'accepted': return outcome.workspace
    case 'missing-key': throw createUnauthorizedError('the route needs a bearer key, and the request has none')
    case 'unknown-key': throw createUnauthorizedError('the key is not that of a workspace')
    case 'undecided': throw createUndecidedError('the key is unknown here, and the configuration may be out of date')
  }
}

/// Checks again the key of a call that has waited since it was accepted for `workspace`. Throws `RefusedError`.
export function assertSameWorkspace (workspace: Workspace, request: AuthenticationRequest): void {
  if (request.workspaces === null) return
  if (findWorkspace(request)?.name === workspace.name) return
  throw createUndecidedError('the key has become that of another workspace while the call waited')
}

function createUnauthorizedError (message: string): RefusedError {
  return new RefusedError(Refusal.unauthorized, Verdict.notRun, message)
}

function createUndecidedError (message: string): RefusedError {
  return new RefusedError(Refusal.noConfiguration, Verdict.notRun, message, undecidedRetryMs)
}
