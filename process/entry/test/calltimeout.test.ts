import { expect, test } from 'vitest'
import { nativeHeaders } from '#connection/header'
import { RouteKind, RouteTable } from '#version/configuration'
import { findCallTimeoutMs } from '../src/calltimeout.js'

const route = {
  name: 'r',
  host: 'h.example',
  pathPrefix: '/a',
  kind: RouteKind.idempotent,
  timeoutMs: 800,
  targetLatencyMs: 400,
  priority: 1,
  targets: [],
  maxInstances: 1,
  keepsHistory: false,
  retentionMs: 0,
  isSticky: false,
  resumable: false,
  isPublic: false
}
const callerLimits = { maxBodyBytes: 1, maxHeaderBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
const routes = new RouteTable({ version: 1, routes: [route], services: new Map(), callerLimits, workspaces: null })

// Guards against relayed requests without an answer in time: a route's timeout may be shorter than the caller's.
test.each<[string, string, RouteTable | null, number]>([
  ['that of the caller, if it is shorter', 'POST /a/1 HTTP/1.1\r\nHost: h.example\r\nchicorynotch-patience-ms: 300\r\n', routes, 300],
  ['that of the route, if it is shorter', 'POST /a?x HTTP/1.1\r\nchicorynotch-patience-ms: 3000\r\nhost: H.example:80\r\n', routes, 800],
  ['that of the route, without another', 'POST /a HTTP/1.1\r\nhost: h.example\r\n', routes, 800],
  ['that of the caller, on no route', 'POST /b HTTP/1.1\r\nhost: h.example\r\nchicorynotch-patience-ms: 3000\r\n', routes, 3000],
  ['that of the caller, without a host', 'POST /a HTTP/1.1\r\nchicorynotch-patience-ms: 3000\r\n', routes, 3000],
  ['that of the caller, without a configuration', 'POST /a HTTP/1.1\r\nhost: h.example\r\nchicorynotch-patience-ms: 3000\r\n', null, 3000],
  ['the default, if none is given', 'POST /b HTTP/1.1\r\nhost: h.example\r\n', routes, 30_000],
  ['the default, if it is malformed', 'POST /b HTTP/1.1\r\nhost: h.example\r\nchicorynotch-patience-ms: 1.2.3\r\n', routes, 30_000]
])('the timeout of a call with this head is %s', (_, head, table, timeoutMs) => {
  expect(findCallTimeoutMs(head, nativeHeaders, table)).toBe(timeoutMs)
})
