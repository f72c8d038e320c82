import { expect, test } from 'vitest'
import type { View } from '#connection/rpc'
import { ObjectKind } from '#connection/store'
import type { ObjectStore, StoredObject } from '#connection/store'
import { sleep } from '#process/clock'
import { noopLog } from '#process/log'
import { emptyView, withMember } from '#process/membership'
import { Retirements } from '#process/storage'

function createView (...names: string[]): View {
  return names.reduce((view, name) => {
    return withMember(view, { name, diskId: name, address: '127.0.0.1:1', zone: 'z' }, true)
  }, emptyView)
}

function createObject (name: string, spec: unknown): StoredObject {
  return { name, revision: 1, spec, status: null }
}

// Guards against a member that is removed with its disk, since the reporter's view is from before it joined.
test.each<[string, string[], string[], string[]]>([
  ['a member that is still listed: running', ['a', 'b', 'c'], ['a', 'b', 'c'], ['running']],
  ['a member that is listed no more: completed', ['a', 'b'], ['a', 'b'], ['completed']],
  ['a member that the store lists, and an older view does not: nothing yet', ['a', 'b'], ['a', 'b', 'c'], []]
])('the report of the retirement of %s', async (_, known, stored, expected) => {
  const reported: unknown[] = []
  const store = {
    get: async () => createObject('current', createView(...stored)),
    updateStatus: async (kind: string, name: string, { state }: { state: string }) => {
      expect([kind, name]).toEqual([ObjectKind.retirements, 'c'])
      reported.push(state)
    }
  } as unknown as ObjectStore
  const retirements = new Retirements(store, () => {}, noopLog)
  retirements.onObject('c', createObject('c', {}))
  retirements.report(createView(...known))
  await sleep(1)
  expect(reported).toEqual(expected)
})
