import { expect, test } from 'vitest'
import { InstanceSpeed } from '#process/speed'

// Guards against placement by a report that no longer holds: the figure changes many times a second.
test.each([
  ['a fresh report counts in full', [250], 0, 2.5],
  ['an old report of an instance that usually reports 100 counts no more', [...Array<number>(30).fill(100), 250], 3000, 1],
  ['an old report of an instance that always reports the same still counts', Array<number>(60).fill(250), 1000, 2.2],
  ['a report close to the usual changes nothing', [108], 0, 1],
  ['a fast instance has a factor below 1', [50], 0, 0.5]
])('%s', (_, reports, ageMs, factor) => {
  const speed = new InstanceSpeed()
  reports.forEach((percent, i) => speed.recordReport(percent, i * 50))
  expect(speed.getFactor((reports.length - 1) * 50 + ageMs)).toBeCloseTo(factor, 1)
})

test('without reports the factor is neutral', () => {
  expect(new InstanceSpeed().getFactor(1e6)).toBe(1)
})
