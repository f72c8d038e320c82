import fc from 'fast-check'
import { test } from 'vitest'
import { StorageModel } from './model.js'

const seed = Number(process.env.HISTORY_SEED ?? 20261205)
const runCount = Number(process.env.HISTORIES ?? 8000)
const maxSteps = 60
const maxMachines = 8
const entryCount = 2

type Machine = StorageModel['machines'][number]

/// What may happen, and how often compared with the rest. `a` and `b` choose to whom.
interface Happening {
  readonly weight: number
  readonly run: (model: StorageModel, a: number, b: number) => void
}

const happenings: Readonly<Record<string, Happening>> = {
  send: { weight: 12, run: (model, a, b) => model.send(pick(model.entries, a), pick(model.machines, b)) },
  // Of `a`, the lowest bit chooses the entry, and the others the record.
  ask: { weight: 6, run: (model, a, b) => model.ask(pick(model.entries, a), pick(model.machines, b), a >> 1) },
  giveUp: { weight: 1, run: (model, a) => model.giveUp(pick(model.entries, a)) },
  commit: { weight: 4, run: (model, a, b) => commit(model, a, b) },
  decide: { weight: 12, run: (model, a) => decide(model, pick(model.machines, a)) },
  adoptAll: { weight: 4, run: model => { for (const machine of model.machines) model.adopt(machine) } },
  beginRetirement: { weight: 2, run: (model, a, b) => beginRetirement(model, a, b) },
  replaceDisk: { weight: 2, run: (model, a) => replaceDisk(model, a) },
  adopt: { weight: 6, run: (model, a) => model.adopt(pick(model.machines, a)) },
  copy: { weight: 10, run: (model, a, b) => model.copy(pick(model.machines, a), pick(model.machines, b)) },
  change: { weight: 12, run: (model, a) => { model.change(pick(model.machines, a)) } },
  evict: { weight: 3, run: (model, a) => { model.change(pick(model.machines, a), true) } },
  settle: { weight: 3, run: model => model.settle() },
  retire: { weight: 2, run: (model, a) => model.retire(pick(model.machines, a)) },
  loseDisk: { weight: 3, run: (model, a) => model.loseDisk(pick(model.machines, a)) },
  remove: { weight: 2, run: (model, a) => model.remove(pick(model.machines, a)) },
  stop: { weight: 2, run: (model, a) => model.stop(pick(model.machines, a)) },
  startWithoutStore: { weight: 2, run: (model, a) => model.startWithoutStore(pick(model.machines, a)) },
  split: { weight: 2, run: (model, a, b) => split(model, a, b) },
  heal: { weight: 1, run: model => model.heal() },
  start: { weight: 2, run: (model, a) => model.start(pick(model.machines, a)) },
  add: { weight: 2, run: model => { if (model.machines.length < maxMachines) model.add() } }
}

/// What comes beside a retirement, in which no machine reaches all others at once.
const retirementNames = [
  'decide', 'decide', 'copy', 'copy', 'adopt', 'replaceDisk', 'send', 'ask', 'stop', 'startWithoutStore', 'start'
]

/// What comes beside an addition, and shows that a member serves too early.
const additionNames = ['decide', 'copy', 'adopt', 'send', 'send', 'ask', 'ask']

const weightedNames = Object.entries(happenings).map(([name, { weight }]) => ({ weight, arbitrary: fc.constant(name) }))
const step = fc.tuple(fc.oneof(...weightedNames), fc.nat(40), fc.nat(40))
/// Numbers of machines and of disks that may be lost at once.
const systems = fc.constantFrom([3, 1], [3, 1], [4, 1], [5, 2], [2, 0], [7, 3])

function pick<Item> (items: readonly Item[], choice: number): Item {
  return items[choice % items.length]!
}

/// Separates the machines and entries whose bit is set in a number drawn from both.
function split (model: StorageModel, a: number, b: number): void {
  model.split(...[...model.machines, ...model.entries].filter((_, i) => ((a * 41 + b) >> i & 1) === 1))
}

/// Sends a record to two machines.
function commit (model: StorageModel, a: number, b: number): void {
  const entry = pick(model.entries, a + b)
  const distance = 1 + b % Math.max(1, model.machines.length - 1)
  for (const choice of [a, a + distance]) model.send(entry, pick(model.machines, choice))
}

/// The machine reads the view and writes its next change.
function decide (model: StorageModel, machine: Machine): void {
  model.adopt(machine)
  model.change(machine)
}

/// A retirement whose first step all machines know.
function beginRetirement (model: StorageModel, a: number, b: number): void {
  model.retire(pick(model.machines, a))
  decide(model, pick(model.machines, b))
  for (const machine of model.machines) model.adopt(machine)
}

/// A member is down while another one joins, copies the rest and is admitted; it comes back without knowing of that.
/// Then the new one is cut off with one that it has copied.
function beginAddition (model: StorageModel): void {
  const [other, unaware, stopped] = model.machines as [Machine, Machine, Machine]
  model.stop(stopped)
  model.add()
  const added = model.machines.at(-1)!
  decide(model, added)
  for (const machine of [other, unaware]) {
    model.adopt(machine)
    model.copy(added, machine)
  }
  decide(model, added)
  model.startWithoutStore(stopped)
  model.split(added, other, model.entries[0]!)
}

/// A lost disk whose successor is listed, as all machines know.
function replaceDisk (model: StorageModel, a: number): void {
  model.loseDisk(pick(model.machines, a))
  decide(model, pick(model.machines, a))
  for (const machine of model.machines) model.adopt(machine)
}

// Guards against orders of retirements, removals, lost disks and late views that empty the storage or wedge its view.
test(`in any history, no acknowledged record is denied or lost, and no view is stuck (seed ${seed})`, () => {
  const property = fc.property(systems, fc.array(step, { maxLength: maxSteps, size: 'max' }), ([size, losses], steps) => {
    const model = new StorageModel(size!, losses!, entryCount)
    for (const [name, a, b] of steps) {
      happenings[name]!.run(model, a, b)
      model.checkRecords()
    }
    model.settle()
  })
  fc.assert(property, { seed, numRuns: runCount })
}, 120_000)

interface Beginning {
  readonly begin: (model: StorageModel, a: number, b: number) => void
  /// What comes beside it.
  readonly names: readonly string[]
  /// To whom it happens.
  readonly choices: fc.Arbitrary<number>
}

const beginnings: Readonly<Record<string, Beginning>> = {
  // Guards against a retired machine that takes the only other copy along, as another disk was lost meanwhile.
  'a retirement': { begin: beginRetirement, names: retirementNames, choices: fc.nat(40) },
  // Guards against a new member that serves, while others that don't know of it deny what it has stored.
  'the addition of a member': { begin: beginAddition, names: additionNames, choices: fc.constantFrom(0, 0, 1, 1, 2, 3, 3) }
}

test.each(Object.entries(beginnings))(`beside %s, no acknowledged record is denied or lost (seed ${seed})`, (_, beginning) => {
  const { begin, names, choices } = beginning
  const laterStep = fc.tuple(fc.constantFrom(...names), choices, choices)
  const steps = fc.array(laterStep, { maxLength: maxSteps, size: 'max' })
  const property = fc.property(fc.nat(2), fc.nat(2), fc.nat(2), steps, (a, b, decider, steps) => {
    const model = new StorageModel(3, 1, entryCount)
    commit(model, a, b)
    begin(model, a, decider)
    for (const [name, a, b] of steps) {
      happenings[name]!.run(model, a, b)
      model.checkRecords()
    }
    model.settle()
  })
  fc.assert(property, { seed, numRuns: runCount })
}, 120_000)
