import { expect, test } from 'vitest'
import { findLifeViolations } from '../src/liferules.js'
import type { Disturbance, ProcessLife } from '../src/observations.js'
import { createDisturbance, createObservations, entry, otherEntry } from './observed.js'

const startedAtMs = 100_000
const stoppedAtMs = startedAtMs + 20_000
const life: ProcessLife = {
  node: entry,
  startedAtMs,
  readyAtMs: startedAtMs + 600,
  endedAtMs: Infinity,
  exitCode: null,
  endSignal: null,
  signals: [],
  lines: []
}
const neverReady = { readyAtMs: null }
const outlived = {
  endedAtMs: stoppedAtMs + 8000,
  endSignal: 'SIGKILL',
  outlivedGrace: true,
  signals: [{ signal: 'SIGTERM', atMs: stoppedAtMs }]
}
const endedItself = { endedAtMs: stoppedAtMs, exitCode: 1 }
const unplanned = (atMs: number, at = entry): Disturbance => createDisturbance('unplanned', atMs, atMs + 1000, at)

const nothing = null

/// What is found of a process, null for nothing, and the disturbances beside it.
const cases: readonly [string, string | null, Partial<ProcessLife>, ...Disturbance[]][] = [
  ['a process that runs', nothing, {}],
  ['a process that is never ready', "doesn't start", neverReady],
  ['a process that is never ready, beside trouble of its own', nothing, neverReady, unplanned(startedAtMs + 500)],
  ['a process that is never ready, beside trouble of the store', nothing,
    neverReady, createDisturbance('unplanned', startedAtMs + 500, startedAtMs + 1500)],
  ['a process that is never ready, beside trouble of another entry', "doesn't start",
    neverReady, unplanned(startedAtMs + 500, otherEntry)],
  ['a process that is not ready long before trouble', "doesn't start", neverReady, unplanned(startedAtMs + 18_000)],
  ['a process that outlives its grace time', 'outlived its grace time', outlived],
  ['a process that outlives its grace time, with trouble in it', nothing, outlived, unplanned(stoppedAtMs + 1000)],
  ['a process that outlives its grace time, with trouble of the store in it', 'outlived its grace time',
    outlived, createDisturbance('unplanned', stoppedAtMs + 1000, stoppedAtMs + 2000)],
  ['a process that outlives its grace time, as it is stopped by SIGSTOP', nothing,
    { ...outlived, signals: [...outlived.signals, { signal: 'SIGSTOP', atMs: stoppedAtMs }] }],
  ['a process that outlives its grace time, after it was stopped by SIGSTOP', 'outlived its grace time',
    { ...outlived, signals: [{ signal: 'SIGCONT', atMs: stoppedAtMs - 1 }, ...outlived.signals] }],
  ['a process that ends by itself', 'ended by itself', endedItself],
  ['a process that ends by itself right after a fault of its machine', nothing,
    endedItself, { ...unplanned(stoppedAtMs - 1900), storage: entry }],
  ['a process that ends by itself long after a fault of its machine', 'ended by itself',
    endedItself, { ...unplanned(stoppedAtMs - 2100), storage: entry }],
  ['a process that ends by itself beside a fault of another machine', 'ended by itself',
    endedItself, { ...unplanned(stoppedAtMs - 500), storage: otherEntry }],
  ['a process that is killed as it uses too much memory', 'beyond its memory',
    { endedAtMs: stoppedAtMs, endSignal: 'SIGKILL', beyondMemoryMb: 360 }],
  ['a process that outlives its grace time, with trouble long before', 'outlived its grace time',
    outlived, unplanned(startedAtMs + 1000)]
]

test.each(cases)('%s: found as the platform sees it', (_, found, fields, ...disturbances) => {
  const observations = createObservations({ attempts: [], disturbances })
  observations.endedAtMs = startedAtMs + 30_000
  observations.lives.push({ ...life, ...fields })
  expect(findLifeViolations(observations).map(({ rule }) => rule)).toEqual(found === nothing ? [] : [found])
})
