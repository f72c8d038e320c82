import { expect, test } from 'vitest'
import { encodeRevisionDigest, parseRevisionDigest } from '#process/revisions'

const digest = { name: 'e', revisions: { instances: 3 }, upAgeMs: 20 }

// Guards against fleets of two versions: an earlier one neither sends observations nor expects them.
test.each([
  ['of an earlier version', digest, []],
  ['with observations', { ...digest, speeds: [['a', 0.5, 1]] }, [{ instanceId: 'a', sum: 0.5, weight: 1 }]],
  ['with malformed observations', { ...digest, speeds: 'fast' }, []]
])('a digest %s is read', (_, fields, speeds) => {
  expect(parseRevisionDigest(fields)).toEqual({ ...digest, speeds })
})

test('a digest without observations is what an earlier version sends', () => {
  expect(encodeRevisionDigest({ ...digest, speeds: [] })).toEqual(digest)
})
