import { expect, test } from 'vitest'
import type { Member, View } from '#connection/rpc'
import { MemberState, computeNextView } from '#process/membership'
import type { Standpoint } from '#process/membership'

const toleratedLosses = 1
/// Far more changes than any history of one retirement needs.
const maxChanges = 50

function createMember (name: string, state: MemberState = MemberState.serving): Member {
  return { name, diskId: `disk-${name}`, address: `${name}:1`, zone: 'z', state, replacement: false, syncedView: 0 }
}

function createStandpoint (name: string, present: readonly string[], values: Partial<Standpoint>): Standpoint {
  const { diskId, address, zone } = createMember(name)
  return {
    own: { name, diskId, address, zone },
    toleratedLosses,
    listedVersion: 1,
    stateVersion: 1,
    isFirstStart: false,
    retiredNames: new Set(),
    passes: new Map(),
    presentDiskIds: new Set(present.map(other => `disk-${other}`)),
    lastingDiskIds: new Set(present.map(other => `disk-${other}`)),
    mayTakeBack: true,
    absent: [],
    ...values
  }
}

/// The members decide in turn, faster than any of them copies. Returns how often the view changed.
function countChanges (view: View, standpoints: readonly Standpoint[]): number {
  let changes = 0
  let current = view
  for (let hasChanged = true; hasChanged && changes < maxChanges;) {
    hasChanged = false
    for (const standpoint of standpoints) {
      const next = computeNextView(current, standpoint)
      if (next === current) continue
      hasChanged = true
      changes++
      current = next
    }
  }
  return changes
}

const view: View = { version: 9, members: ['a', 'b', 'c'].map(name => createMember(name)), leaveVersion: 0 }
const fourMembers: View = { ...view, members: ['a', 'b', 'c', 'd'].map(name => createMember(name)) }

test.each([
  {
    name: 'a retired member has missed a lost one for longer than the others',
    view,
    standpoints: [
      createStandpoint('a', ['a', 'c'], { retiredNames: new Set(['a']), lastingDiskIds: new Set(['disk-a', 'disk-b', 'disk-c']) }),
      createStandpoint('c', ['a', 'b', 'c'], { retiredNames: new Set(['a']) })
    ]
  },
  {
    name: 'a member is cut off from the others, which evict it',
    view: fourMembers,
    standpoints: [
      createStandpoint('a', ['a'], {}),
      createStandpoint('c', ['b', 'c', 'd'], { absent: [{ diskId: 'disk-a', isReplaced: true }] })
    ]
  },
  {
    name: 'a retired member is cut off from the others',
    view: fourMembers,
    standpoints: [
      createStandpoint('a', ['a'], { retiredNames: new Set(['a']) }),
      createStandpoint('c', ['b', 'c', 'd'], { retiredNames: new Set(['a']) })
    ]
  }
])('$name: the view does not change back and forth', ({ view, standpoints }) => {
  expect(countChanges(view, standpoints)).toBeLessThan(maxChanges)
})

test('an admitted member that leaves and is needed again does not serve before the others know that it is read', () => {
  const admitted: View = { ...view, members: [...view.members, createMember('d', MemberState.admitted)] }
  const retiredNames = new Set(['d'])
  const leaving = computeNextView(admitted, createStandpoint('c', ['a', 'b', 'c', 'd'], { retiredNames }))
  expect(leaving.members.find(({ name }) => name === 'd')?.state).toBe(MemberState.leaving)
  // Nobody has replied to it with a view in which it is read.
  const own = createStandpoint('d', ['c', 'd'], { stateVersion: leaving.version })
  const next = computeNextView(leaving, own)
  expect(next.members.find(({ name }) => name === 'd')?.state).not.toBe(MemberState.serving)
})

test('a member that is cut off from all others does not serve without their knowing that it is read', () => {
  const admitted: View = { ...view, members: [...view.members, createMember('d', MemberState.admitted)] }
  const next = computeNextView(admitted, createStandpoint('d', ['d'], { stateVersion: admitted.version }))
  expect(next.members.find(({ name }) => name === 'd')?.state).toBe(MemberState.admitted)
})

// Guards against LOST: b and c, cut off with an entry on the view before, rule out a turn that a and d have stored.
test.each([
  ['just', ['a', 'b', 'c', 'd']],
  ['long since', ['a', 'd']]
])('an admitted member that has %s lost sight of others does not serve before enough of them know that it is read', (_, lasting) => {
  const admitted: View = { ...view, version: 10, members: [...view.members, createMember('d', MemberState.admitted)] }
  const passes = new Map([['disk-a', { diskId: 'disk-a', viewVersion: 10, wasComplete: true }]])
  const lastingDiskIds = new Set(lasting.map(name => `disk-${name}`))
  const own = createStandpoint('d', ['a', 'd'], { stateVersion: 10, passes, lastingDiskIds })
  expect(computeNextView(admitted, own).members.find(({ name }) => name === 'd')?.state).toBe(MemberState.admitted)
})
