import { expect, test } from 'vitest'
import { nativeHeaders } from '#connection/header'

// Guards against a program that names no time and counts as late.
test.each([
  ['none', undefined, null],
  ['a malformed one', 'soon', null],
  ['no time left', '0', 0],
  ['a time that is over', '-250', 0],
  ['some time', '1500.5', 1500.5]
])('the time left of a program that names %s', (_, text, expected) => {
  const headers = {
    host: 'h',
    'chicorynotch-call-id': 'c',
    'chicorynotch-program-id': 'p',
    'chicorynotch-program-remaining-ms': text
  }
  const call = nativeHeaders.parseCall({ method: 'POST', path: '/', headers, rawHeaders: [] }, 0)
  expect(call.program?.remainingMs).toBe(expected)
})
