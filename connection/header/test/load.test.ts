import { expect, test } from 'vitest'
import { nativeHeaders } from '#connection/header'

const threeFigures = { running: 3, waiting: 1, slots: 24 }

// Guards against losing the load of instances that report more than three figures.
test.each([
  ['three figures', '3,1,24', threeFigures],
  ['how long work takes', '3, 1, 24, 250', { ...threeFigures, durationPercent: 250 }],
  ['a fraction', '3,1,24,87.5', { ...threeFigures, durationPercent: 87.5 }],
  ['further figures', '3,1,24,250,7,x', { ...threeFigures, durationPercent: 250 }],
  ['a figure below the range', '3,1,24,1', { ...threeFigures, durationPercent: 20 }],
  ['a figure above the range', '3,1,24,999999', { ...threeFigures, durationPercent: 2000 }],
  ['a malformed fourth figure', '3,1,24,fast', threeFigures],
  ['a fourth figure of 0', '3,1,24,0', threeFigures],
  ['a negative fourth figure', '3,1,24,-100', threeFigures],
  ['an empty fourth figure', '3,1,24,', threeFigures],
  ['two figures', '3,1', null],
  ['text after the third figure', '3,1,24 x', null]
])('a load header with %s', (_, text, load) => {
  expect(nativeHeaders.parseResponse({ status: 200, headers: { 'chicorynotch-load': text } }).load).toEqual(load)
})
