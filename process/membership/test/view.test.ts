import { describe, expect, test } from 'vitest'
import type { Member, View } from '#connection/rpc'
import {
  MemberState, requiredCopySources, emptyView, canEvict, computeQuorums, parseView, withServing, withLeaving,
  withMember,
  withSynced
} from '#process/membership'

function join (view: View, name: string, disk = name, isFirstStart = true): View {
  return withMember(view, { name, diskId: disk, address: `${name}:1`, zone: 'z' }, isFirstStart)
}

function members (...names: string[]): View {
  return names.reduce((view, name) => join(view, name), emptyView)
}

function stateOf (view: View, name: string): Member | undefined {
  return view.members.find(member => member.name === name)
}

describe('quorums', () => {
  const wiped = join(members('a', 'b', 'c'), 'a', 'a2', false)
  const added = join(members('a', 'b', 'c'), 'd', 'd', false)
  const leaving = withLeaving(join(members('a', 'b', 'c'), 'd'), 'a')
  test.each([
    ['three complete', members('a', 'b', 'c'), 1, { writers: 3, appends: 2, knowers: 3, absences: 2, accounts: 2 }],
    ['one disk lost: its place counts for appends only', wiped, 1, { writers: 3, appends: 2, knowers: 2, absences: 2, accounts: 2 }],
    ['one joining beside three: it counts for nothing', added, 1, { writers: 3, appends: 2, knowers: 3, absences: 2, accounts: 2 }],
    ['one of four leaving: it is read, not relied on', leaving, 1, { writers: 3, appends: 2, knowers: 4, absences: 3, accounts: 3 }],
    ['nine, two losses', members(...'abcdefghi'), 2, { writers: 9, appends: 3, knowers: 9, absences: 7, accounts: 5 }]
  ])('%s', (_, view, losses, expected) => {
    const rule = computeQuorums(view, losses)
    expect({ ...rule, writers: rule.writers.size, knowers: rule.knowers.size }).toEqual(expected)
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
    '%i members with %i losses: an absence meets every append, two accounts meet', (size, losses) => {
      const rule = computeQuorums(members(...Array.from({ length: size! }, (_, i) => `m${i}`)), losses!)
      expect(rule.absences + rule.appends).toBeGreaterThan(size!)
      expect(2 * rule.accounts).toBeGreaterThan(size!)
    })
})

describe('changes of the view', () => {
  test('at the first start all serve at once; a disk that is new later has to copy', () => {
    expect(members('a', 'b').members.map(member => member.state)).toEqual(['serving', 'serving'])
    expect(stateOf(join(members('a', 'b'), 'a', 'a2', true), 'a')).toMatchObject({ state: 'joining', replacement: true })
    expect(stateOf(join(members('a', 'b'), 'c', 'c', false), 'c')).toMatchObject({ state: 'joining', replacement: false })
  })

  test('a restart with the same disk changes nothing, another address only that', () => {
    const view = members('a', 'b')
    expect(join(view, 'a')).toBe(view)
    const moved = withMember(view, { name: 'a', diskId: 'a', address: 'elsewhere:1', zone: 'z' }, false)
    expect(stateOf(moved, 'a')).toMatchObject({ address: 'elsewhere:1', state: 'serving' })
  })

  test('a joining member that is complete serves; how many it must copy', () => {
    const wiped = join(members('a', 'b', 'c'), 'a', 'a2', false)
    expect(requiredCopySources(wiped, 1)).toBe(2)
    expect(requiredCopySources(join(members('a', 'b', 'c'), 'd', 'd', false), 1)).toBe(2)
    expect(stateOf(withServing(wiped, 'a2'), 'a')).toMatchObject({ state: MemberState.serving, replacement: false })
  })

  test('a leaving member goes once every other one has said that it holds all', () => {
    const leaving = withLeaving(members('a', 'b', 'c'), 'a')
    const one = withSynced(leaving, 'b', leaving.leaveVersion)
    expect(one.members.map(member => member.name)).toEqual(['a', 'b', 'c'])
    const both = withSynced(one, 'c', leaving.leaveVersion)
    expect(both.members.map(member => member.name)).toEqual(['b', 'c'])
  })

  test('a member gives way only while enough others are present', () => {
    const view = members('a', 'b', 'c', 'd')
    expect(canEvict(view, 'a', new Set(['b', 'c', 'd']), 1)).toBe(true)
    expect(canEvict(view, 'a', new Set(['b', 'c']), 1)).toBe(false)
    expect(canEvict(members('a', 'b', 'c'), 'a', new Set(['b', 'c']), 1)).toBe(false)
  })

  test('every change has a higher version, and survives the store', () => {
    const view = withLeaving(members('a', 'b', 'c'), 'a')
    expect(view.version).toBe(4)
    expect(parseView(JSON.parse(JSON.stringify(view)))).toEqual(view)
    expect(() => parseView({ version: 1, leaveVersion: 0, members: [{ name: 'a' }] })).toThrow('not a member')
  })
})
