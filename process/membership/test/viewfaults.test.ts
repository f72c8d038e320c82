import { expect, test } from 'vitest'
import { StorageModel } from './model.js'

const toleratedLosses = 1

/// What happens to three machines and two entries. Throws if an invariant of the model is broken.
type History = (model: StorageModel) => void

const cases: Record<string, History> = {
  'another disk is lost during a retirement: the copies of the retired machine are kept': model => {
    const [retired, wiped, other] = model.machines as [Machine, Machine, Machine]
    append(model, retired, wiped)
    model.retire(retired)
    model.change(other)
    model.loseDisk(wiped)
    for (const machine of [wiped, other, wiped, other]) decide(model, machine)
    model.remove(retired)
    model.checkRecords()
    model.settle()
  },
  'a member is removed for good during a retirement: the retirement is completed': model => {
    const [retired, removed, other] = model.machines as [Machine, Machine, Machine]
    append(model, retired, removed)
    model.retire(retired)
    decide(model, other)
    model.remove(removed)
    model.add()
    model.run()
    expect(model.view.members.map(({ name }) => name)).not.toContain(retired.name)
    model.remove(retired)
  },
  'a member is removed for good after a retirement: its successor takes its place, and a later loss is borne': model => {
    const [retired, removed, wiped] = model.machines as [Machine, Machine, Machine]
    append(model, retired, removed)
    model.retire(retired)
    model.settle()
    model.remove(retired)
    model.remove(removed)
    model.add()
    model.settle()
    model.loseDisk(wiped)
    model.settle()
  },
  'a member is evicted, returns, and another one is removed: the first one serves again': model => {
    const [evicted, removed] = model.machines as [Machine, Machine]
    model.stop(evicted)
    model.change(removed, true)
    model.remove(removed)
    model.settle()
  },
  'a retired member loses its disk before it can leave: its new disk copies, and a later loss is borne': model => {
    const [wiped, retired] = model.machines as [Machine, Machine]
    model.retire(wiped)
    model.loseDisk(retired)
    model.retire(retired)
    model.settle()
    model.loseDisk(wiped)
    model.add()
    model.settle()
  },
  'a new disk copies a peer that takes the old disk for a member: it does not serve without what that one stores': model => {
    const [first, second, wiped] = model.machines as [Machine, Machine, Machine]
    model.send(model.entries[0]!, wiped)
    model.loseDisk(wiped)
    decide(model, wiped)
    for (const peer of [first, second]) model.copy(wiped, peer)
    append(model, first)
    decide(model, wiped)
  },
  'a new disk is copied before it holds all, and then serves: that pass does not stand for the machine that leaves': model => {
    const [leaving, lagging, wiped] = model.machines as [Machine, Machine, Machine]
    append(model, leaving, wiped)
    model.retire(leaving)
    decide(model, lagging)
    model.loseDisk(wiped)
    decide(model, wiped)
    for (const machine of [leaving, lagging]) model.adopt(machine)
    model.copy(lagging, wiped)
    for (const peer of [leaving, lagging]) model.copy(wiped, peer)
    for (const machine of [wiped, lagging, wiped]) decide(model, machine)
    model.checkRecords()
    model.settle()
  },
  'a new member acknowledges a turn before the others know of it: an entry on the older view does not deny the turn': model => {
    const [retired, silent, other] = model.machines as [Machine, Machine, Machine]
    model.retire(retired)
    decide(model, other)
    model.add()
    const added = model.machines[3]!
    decide(model, added)
    for (const machine of [retired, silent, other]) {
      model.adopt(machine)
      model.copy(added, machine)
    }
    decide(model, added)
    decide(model, added)
    for (const machine of [other, added]) model.send(model.entries[0]!, machine)
    // The first reply only makes the entry begin anew, under the view before the last.
    for (const machine of [retired, retired, silent]) model.ask(model.entries[1]!, machine, 0)
  },
  'a new member and another one are cut off from two that do not know that it is read: these do not deny a turn': model => {
    const [other, unaware, stopped] = model.machines as [Machine, Machine, Machine]
    const [entry, otherEntry] = model.entries as [Entry, Entry]
    model.stop(stopped)
    model.add()
    const added = model.machines[3]!
    decide(model, added)
    for (const machine of [other, unaware]) {
      model.adopt(machine)
      model.copy(added, machine)
    }
    decide(model, added)
    model.startWithoutStore(stopped)
    model.split(other, added, entry)
    model.adopt(other)
    model.copy(added, other)
    decide(model, added)
    model.adopt(other)
    for (const machine of [other, added]) model.send(entry, machine)
    for (const machine of [unaware, unaware, stopped]) model.ask(otherEntry, machine, 0)
    model.settle()
  }
}

type Machine = StorageModel['machines'][number]
type Entry = StorageModel['entries'][number]

function append (model: StorageModel, ...machines: readonly Machine[]): void {
  for (const machine of machines) model.send(model.entries[0]!, machine)
  expect(model.entries[0]!.append).toBeNull()
}

/// The machine reads the view and writes its next change.
function decide (model: StorageModel, machine: Machine): void {
  model.adopt(machine)
  model.change(machine)
}

test.each(Object.entries(cases))('%s', (_, history) => {
  const model = new StorageModel(3, toleratedLosses, 2)
  history(model)
  model.checkRecords()
})
