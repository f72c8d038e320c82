import fc from 'fast-check'
import { test } from 'vitest'
import { StorageModel } from './model.js'

const seed = Number(process.env.HISTORY_SEED ?? 20261205)
const runCount = Number(process.env.HISTORIES ?? 8000)
const maxSteps = 60
const maxMachines = 8
const entryCount = 2

/// What may happen, and how often compared with the rest. `a` and `b` choose to whom.
interface Happening {
  readonly weight: number
  readonly run: (model: StorageModel, a: number, b: number) => void
}

const happenings: Readonly<Record<string, Happening>> = {
  send: { weight: 12, run: (model, a, b) => model.send(pick(model.entries, a), pick(model.machines, b)) },
  ask: { weight: 6, run: (model, a, b) => model.ask(pick(model.entries, a), pick(model.machines, b), a) },
  giveUp: { weight: 1, run: (model, a) => model.giveUp(pick(model.entries, a)) },
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
  start: { weight: 2, run: (model, a) => model.start(pick(model.machines, a)) },
  add: { weight: 2, run: model => { if (model.machines.length < maxMachines) model.add() } }
}

const weightedNames = Object.entries(happenings).map(([name, { weight }]) => ({ weight, arbitrary: fc.constant(name) }))
const step = fc.tuple(fc.oneof(...weightedNames), fc.nat(40), fc.nat(40))
/// Numbers of machines and of disks that may be lost at once.
const systems = fc.constantFrom([3, 1], [3, 1], [4, 1], [5, 2], [2, 0], [7, 3])

function pick<Item> (items: readonly Item[], choice: number): Item {
  return items[choice % items.length]!
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
