import { expect, test } from 'vitest'
import { emptyView } from '#process/membership'
import { StorageModel } from './model.js'

// Guards against a turn that is acknowledged by the view of an entry, as a storage instance that has just started
// doesn't know the view yet, though the other copy went with a member that was removed since.
test('an instance that has started and has not read the view does not acknowledge by an older one', () => {
  const model = new StorageModel(3, 1, 1)
  const [entry] = model.entries
  const [, gone, restarted] = model.machines
  model.send(entry!, gone!)
  model.remove(gone!)
  model.settle()
  model.stop(restarted!)
  Object.assign(restarted!, { isUp: true, view: emptyView })
  model.send(entry!, restarted!)
  expect(() => model.checkRecords()).not.toThrow()
})
