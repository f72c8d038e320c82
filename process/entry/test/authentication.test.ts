import { expect, test } from 'vitest'
import { authenticate } from '#process/entry'
import type { AuthenticationRequest } from '#process/entry'
import { Workspaces } from '#version/configuration'
import type { Workspace } from '#version/configuration'
import { assertSameWorkspace, findWorkspace } from '../src/authentication.js'

const createWorkspace = (name: string, ...keys: string[]): Workspace => ({ name, keys, priority: null, quota: null })
const red = createWorkspace('red', 'red-1', 'red-2')
const blue = createWorkspace('blue', 'blue-1')
const workspaces = new Workspaces([red, blue])

const request = (fields: Partial<AuthenticationRequest>): AuthenticationRequest => {
  return { key: null, isPublic: false, workspaces, mayBeOutdated: false, ...fields }
}

// Guards against calls of strangers, and against a 401, which ends a program, for a key that is only new.
test.each<[string, Partial<AuthenticationRequest>, string, string | null]>([
  ['no workspaces, no key', { workspaces: null }, 'accepted', null],
  ['no workspaces, a key', { workspaces: null, key: 'red-1' }, 'accepted', null],
  ['a known key', { key: 'red-1' }, 'accepted', 'red'],
  ['another key of the workspace', { key: 'red-2' }, 'accepted', 'red'],
  ['a key of another workspace', { key: 'blue-1' }, 'accepted', 'blue'],
  ['a known key, perhaps out of date', { key: 'blue-1', mayBeOutdated: true }, 'accepted', 'blue'],
  ['an unknown key', { key: 'x' }, 'unknown-key', null],
  ['a key in other letters', { key: 'RED-1' }, 'unknown-key', null],
  ['an unknown key, perhaps out of date', { key: 'x', mayBeOutdated: true }, 'undecided', null],
  ['no key', {}, 'missing-key', null],
  ['no key, perhaps out of date', { mayBeOutdated: true }, 'missing-key', null],
  ['an empty list of workspaces', { workspaces: new Workspaces([]), key: 'red-1' }, 'unknown-key', null],
  ['a public route, no key', { isPublic: true }, 'accepted', null],
  ['a public route, an unknown key', { isPublic: true, key: 'x' }, 'accepted', null],
  ['a public route, a known key', { isPublic: true, key: 'red-1' }, 'accepted', null]
])('authentication: %s', (_, fields, kind, workspace) => {
  const outcome = authenticate(request(fields))
  expect([outcome.kind, outcome.kind === 'accepted' ? outcome.workspace?.name ?? null : null]).toEqual([kind, workspace])
})

test.each<[string, Partial<AuthenticationRequest>, number, boolean]>([
  ['an unknown key', { key: 'secret' }, 401, false],
  ['no key', {}, 401, false],
  ['an unknown key, perhaps out of date', { key: 'secret', mayBeOutdated: true }, 503, true]
])('%s is refused as not run, without the key in the message', (_, fields, status, hasDelay) => {
  const refused = expect.objectContaining({ status, verdict: 'not-run', message: expect.not.stringContaining('secret') })
  expect(() => findWorkspace(request(fields))).toThrow(refused)
  try {
    findWorkspace(request(fields))
  } catch (error) {
    expect((error as { retryAfterMs: number }).retryAfterMs > 0).toBe(hasDelay)
  }
})

test.each<[string, Partial<AuthenticationRequest>, number | null]>([
  ['is still there', {}, null],
  ['was removed', { workspaces: new Workspaces([createWorkspace('red', 'red-2')]) }, 401],
  ['was removed, perhaps out of date', { workspaces: new Workspaces([blue]), mayBeOutdated: true }, 503],
  ['has moved', { workspaces: new Workspaces([createWorkspace('blue', 'red-1')]) }, 503],
  ['is not needed any more', { workspaces: null }, null]
])('a call that has waited, whose key %s', (_, fields, status) => {
  const check = (): void => assertSameWorkspace(red, request({ key: 'red-1', ...fields }))
  if (status === null) check()
  else expect(check).toThrow(expect.objectContaining({ status, verdict: 'not-run' }))
})
