import { expect, test } from 'vitest'
import { nativeHeaders } from '#connection/header'

test.each([
  ['the first field', 'POST / HTTP/1.1\r\nchicorynotch-call-id: a1\r\nhost: h\r\n', 'a1'],
  ['the last field', 'POST / HTTP/1.1\r\nhost: h\r\nchicorynotch-call-id: a1\r\n', 'a1'],
  ['in other letters and spaces', 'POST / HTTP/1.1\r\nChicorynotch-Call-Id:\ta1 \r\nhost: h\r\n', 'a1'],
  ['in the value of another field', 'POST / HTTP/1.1\r\nx: chicorynotch-call-id: a1\r\nhost: h\r\n', null],
  ['absent', 'POST / HTTP/1.1\r\nhost: h\r\n', null],
  ['empty', 'POST / HTTP/1.1\r\nchicorynotch-call-id:\r\nhost: h\r\n', null],
  ['too long', `POST / HTTP/1.1\r\nchicorynotch-call-id: ${'a'.repeat(201)}\r\nhost: h\r\n`, null]
])('the call id is found in the text of a head: %s', (_, head, id) => {
  expect(nativeHeaders.findCallId(head)).toBe(id)
})
