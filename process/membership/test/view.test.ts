import { describe, expect, test } from 'vitest'
import type { Member, View } from '#connection/rpc'
import {
  MemberState, requiredCopySources, emptyView, canEvict, canLeave, computeQuorums, isForming, needsMember, parseView,
  withCopied, withServing, withLeaving, withMember, withSynced, withoutLeaving
} from '#process/membership'

function joinMember (view: View, name: string, disk = name, isFirstStart = true): View {
  return withMember(view, { name, diskId: disk, address: `${name}:1`, zone: 'z' }, isFirstStart)
}

function createView (...names: string[]): View {
  return names.reduce((view, name) => joinMember(view, name), emptyView)
}

function findMember (view: View, name: string): Member | undefined {
  return view.members.find(member => member.name === name)
}

describe('quorums', () => {
  const replaced = joinMember(createView('a', 'b', 'c'), 'a', 'a2', false)
  const added = joinMember(createView('a', 'b', 'c'), 'd', 'd', false)
  const leaving = withLeaving(joinMember(createView('a', 'b', 'c'), 'd'), 'a')
  test.each([
    ['three serving members', createView('a', 'b', 'c'), 1, { appendVoters: 3, appendQuorum: 2, readVoters: 3, absenceQuorum: 2, accountQuorum: 2 }],
    ['the replacement of a lost disk counts for appends only', replaced, 1, { appendVoters: 3, appendQuorum: 2, readVoters: 2, absenceQuorum: 2, accountQuorum: 2 }],
    ['a joining fourth member does not count', added, 1, { appendVoters: 3, appendQuorum: 2, readVoters: 3, absenceQuorum: 2, accountQuorum: 2 }],
    ['a leaving member of four counts for reads only', leaving, 1, { appendVoters: 3, appendQuorum: 2, readVoters: 4, absenceQuorum: 3, accountQuorum: 3 }],
    ['the replacement of a lost disk that leaves counts for nothing', withLeaving(replaced, 'a'), 1, { appendVoters: 2, appendQuorum: 2, readVoters: 2, absenceQuorum: 2, accountQuorum: 2 }],
    ['nine serving members, two tolerated losses', createView(...'abcdefghi'), 2, { appendVoters: 9, appendQuorum: 3, readVoters: 9, absenceQuorum: 7, accountQuorum: 5 }]
  ])('%s', (_, view, losses, expected) => {
    const quorums = computeQuorums(view, losses)
    expect({ ...quorums, appendVoters: quorums.appendVoters.size, readVoters: quorums.readVoters.size })
      .toEqual(expected)
  })

  test.each([
    1,
    2,
    3,
    4,
    5,
    6,
    7,
    8,
    9,
    12
  ].flatMap(size => [0, 1, 2, 3].filter(losses => size > losses).map(losses => [size, losses])))(
    '%i members, %i tolerated losses: absence and append quorums overlap, and so do two account quorums', (size, losses) => {
      const quorums = computeQuorums(createView(...Array.from({ length: size! }, (_, i) => `m${i}`)), losses!)
      expect(quorums.absenceQuorum + quorums.appendQuorum).toBeGreaterThan(size!)
      expect(2 * quorums.accountQuorum).toBeGreaterThan(size!)
    })
})

describe('a further instance', () => {
  const full = createView('a', 'b', 'c')
  test.each<[string, View, string[], boolean, boolean]>([
    ['joins the first view and serves at once', createView('a', 'b'), ['a', 'b'], true, true],
    ['stands by while the view is full', full, ['a', 'b', 'c'], false, false],
    ['joins if a member is absent, and does not serve at once', full, ['a', 'c'], true, false],
    ['stands by if another one has taken the place of the absent member', joinMember(full, 'd', 'd', false), ['a', 'c', 'd'], false, false],
    ['joins if a member leaves, and does not serve at once', withLeaving(full, 'b'), ['a', 'b', 'c'], true, false]
  ])('%s', (_, view, present, isNeeded, servesAtOnce) => {
    expect([needsMember(view, new Set(present), 1), isForming(view, 1)]).toEqual([isNeeded, servesAtOnce])
  })
})

describe('view changes', () => {
  test('a new member serves at once at the first start; a replaced disk and a later member join first', () => {
    expect(createView('a', 'b').members.map(member => member.state)).toEqual(['serving', 'serving'])
    expect(findMember(joinMember(createView('a', 'b'), 'a', 'a2', true), 'a')).toMatchObject({ state: 'joining', replacement: true })
    expect(findMember(joinMember(createView('a', 'b'), 'c', 'c', false), 'c')).toMatchObject({ state: 'joining', replacement: false })
  })

  test('a restart with the same disk changes at most the address', () => {
    const view = createView('a', 'b')
    expect(joinMember(view, 'a')).toBe(view)
    const moved = withMember(view, { name: 'a', diskId: 'a', address: 'elsewhere:1', zone: 'z' }, false)
    expect(findMember(moved, 'a')).toMatchObject({ address: 'elsewhere:1', state: 'serving' })
  })

  test('a joining member must copy from two others, and serves once it is complete', () => {
    const replaced = joinMember(createView('a', 'b', 'c'), 'a', 'a2', false)
    expect(requiredCopySources(replaced, 1)).toBe(2)
    expect(requiredCopySources(joinMember(createView('a', 'b', 'c'), 'd', 'd', false), 1)).toBe(2)
    expect(findMember(withCopied(replaced, 'a2'), 'a')).toMatchObject({ state: MemberState.serving, replacement: false })
  })

  test('a member that is added to the others is read before its appends count', () => {
    const admitted = withCopied(joinMember(createView('a', 'b', 'c'), 'd', 'd', false), 'd')
    expect(findMember(admitted, 'd')).toMatchObject({ state: MemberState.admitted })
    expect(computeQuorums(admitted, 1)).toMatchObject({
      appendVoters: new Set(['a', 'b', 'c']), readVoters: new Set(['a', 'b', 'c', 'd']), absenceQuorum: 3
    })
    expect(findMember(withServing(admitted, 'd'), 'd')).toMatchObject({ state: MemberState.serving })
  })

  test('a leaving member is removed once enough serving ones for an append quorum have synced', () => {
    const leaving = withLeaving(createView('a', 'b', 'c', 'd'), 'a')
    const oneSynced = withSynced(leaving, 'b', leaving.leaveVersion, 1)
    expect(oneSynced.members.map(member => member.name)).toEqual(['a', 'b', 'c', 'd'])
    const twoSynced = withSynced(oneSynced, 'c', leaving.leaveVersion, 1)
    expect(twoSynced.members.map(member => member.name)).toEqual(['b', 'c', 'd'])
  })

  test('a disk that is lost after it has synced does not count for the removal of a leaving member', () => {
    const leaving = withLeaving(createView('a', 'b', 'c'), 'a')
    const replaced = joinMember(withSynced(leaving, 'b', leaving.leaveVersion, 1), 'b', 'b2', false)
    const otherSynced = withSynced(replaced, 'c', leaving.leaveVersion, 1)
    expect(otherSynced.members.map(member => member.name)).toEqual(['a', 'c', 'b'])
  })

  test.each<[string, string[], boolean]>([
    ['enough others are present', ['a', 'b', 'c'], true],
    ['an absent member does not count', ['a', 'b'], false]
  ])('retirement: %s', (_, present, expected) => {
    expect(canLeave(createView('a', 'b', 'c'), 'a', new Set(present), 1)).toBe(expected)
  })

  test.each<[string, View, string]>([
    ['a serving member is admitted', createView('a', 'b', 'c'), MemberState.admitted],
    ['the replacement of a lost disk joins again', joinMember(createView('a', 'b', 'c'), 'a', 'a2', false), MemberState.joining]
  ])('no longer leaving: %s', (_, view, state) => {
    const { diskId } = findMember(view, 'a')!
    expect(findMember(withoutLeaving(withLeaving(view, 'a'), diskId), 'a')).toMatchObject({ diskId, state })
  })

  test.each<[string, string[], boolean, string[], boolean]>([
    ['a full system remains', ['a', 'b', 'c', 'd'], false, ['b', 'c', 'd'], true],
    ['too few are present for a full system', ['a', 'b', 'c', 'd'], false, ['b', 'c'], false],
    ['too few are listed for a full system', ['a', 'b', 'c'], false, ['b', 'c'], false],
    ['another has joined, and enough for an append quorum remain', ['a', 'b', 'c'], true, ['b', 'c'], true],
    ['another has joined, and too few for an append quorum remain', ['a', 'b', 'c'], true, ['b'], false]
  ])('eviction: %s', (_, names, isReplaced, present, expected) => {
    expect(canEvict(createView(...names), { diskId: 'a', isReplaced }, new Set(present), 1)).toBe(expected)
  })

  test('each change raises the version, and a stored view parses to the same view', () => {
    const view = withLeaving(createView('a', 'b', 'c'), 'a')
    expect(view.version).toBe(4)
    expect(parseView(JSON.parse(JSON.stringify(view)))).toEqual(view)
    expect(() => parseView({ version: 1, leaveVersion: 0, members: [{ name: 'a' }] })).toThrow('invalid member in the view')
  })
})
