import { expect, test } from 'vitest'
import { isPortableFieldValue, nativeHeaders } from '#connection/header'

const key = 'Bearer key-1'
const base = ['Host', 'h', 'Chicorynotch-Call-Id', 'a1', 'X-Own', 'kept']

/// The fields with credentials or a workspace that an instance gets.
function forward (fields: readonly string[], workspace: string | null, hidesCredentials: boolean): string[] {
  const rawHeaders = [...base, ...fields]
  const headers: Record<string, string> = {}
  for (let i = 0; i < rawHeaders.length; i += 2) headers[rawHeaders[i]!.toLowerCase()] ??= rawHeaders[i + 1]!
  const call = nativeHeaders.parseCall({ method: 'POST', path: '/', headers, rawHeaders }, 0)
  const dispatch = { instanceId: 'i', remainingMs: 10, lastEventId: -1, workspace, hidesCredentials }
  const sent = nativeHeaders.createRequestHeaders(call, dispatch)
  expect(sent).toEqual(expect.arrayContaining(['X-Own', 'kept']))
  return sent.flatMap((name, i) => {
    return i % 2 === 0 && /^(authorization|chicorynotch-workspace)$/i.test(name) ? [`${name}: ${sent[i + 1]}`] : []
  })
}

// Guards against keys that reach an instance, and against workspaces that callers name themselves.
test.each<[string, readonly string[], string | null, boolean, readonly string[]]>([
  ['a key, with a workspace', ['Authorization', key], 'red', true, ['chicorynotch-workspace: red']],
  ['two keys', ['authorization', key, 'AUTHORIZATION', key], 'red', true, ['chicorynotch-workspace: red']],
  ['a key on a public route', ['Authorization', key], null, true, []],
  ['a key, no workspaces', ['Authorization', key], null, false, [`Authorization: ${key}`]],
  ['a forged workspace', ['Chicorynotch-Workspace', 'blue'], 'red', true, ['chicorynotch-workspace: red']],
  ['a forged workspace, in other letters', ['CHICORYNOTCH-workspace', 'blue'], 'red', true, ['chicorynotch-workspace: red']],
  ['a forged workspace on a public route', ['chicorynotch-workspace', 'blue'], null, true, []],
  ['a forged workspace, no workspaces', ['chicorynotch-workspace', 'blue'], null, false, []],
  ['a value that is a name', ['x', 'authorization', 'y', key], 'red', true, ['chicorynotch-workspace: red']]
])('an instance gets of %s', (_, fields, workspace, hidesCredentials, expected) => {
  expect(forward(fields, workspace, hidesCredentials)).toEqual(expected)
})

test.each<[string, string | null]>([
  ['Bearer k', 'k'],
  ['bearer  k ', 'k'],
  ['Bearer', null],
  ['Bearer a b', null],
  ['Basic k', null],
  ['k', null]
])('the bearer key of "%s"', (authorization, expected) => {
  const headers = { host: 'h', 'chicorynotch-call-id': 'a1', authorization }
  expect(nativeHeaders.parseCall({ method: 'POST', path: '/', headers, rawHeaders: [] }, 0).bearerKey).toBe(expected)
})

test.each([
  ['a', true],
  ['Red team 7/b', true],
  ['', false],
  [' a', false],
  ['a ', false],
  ['a\r\nx: y', false],
  ['a\u0000', false],
  ['rød', false]
])('a header field can hold "%s": %s', (text, expected) => {
  expect(isPortableFieldValue(text)).toBe(expected)
})
