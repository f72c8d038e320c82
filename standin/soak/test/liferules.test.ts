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

interface Case {
  readonly name: string
  readonly fields: Partial<ProcessLife>
  readonly disturbances?: readonly Disturbance[]
  readonly found: readonly string[]
}

const cases: readonly Case[] = [
  { name: 'a process that runs', fields: {}, found: [] },
  { name: 'a process that is never ready', fields: neverReady, found: ["doesn't start"] },
  {
    name: 'a process that is never ready, beside trouble of its own',
    fields: neverReady,
    disturbances: [unplanned(startedAtMs + 500)],
    found: []
  },
  {
    name: 'a process that is never ready, beside trouble of the store',
    fields: neverReady,
    disturbances: [createDisturbance('unplanned', startedAtMs + 500, startedAtMs + 1500)],
    found: []
  },
  {
    name: 'a process that is never ready, beside trouble of another entry',
    fields: neverReady,
    disturbances: [unplanned(startedAtMs + 500, otherEntry)],
    found: ["doesn't start"]
  },
  {
    name: 'a process that is not ready long before trouble',
    fields: neverReady,
    disturbances: [unplanned(startedAtMs + 18_000)],
    found: ["doesn't start"]
  },
  { name: 'a process that outlives its grace time', fields: outlived, found: ['outlived its grace time'] },
  {
    name: 'a process that outlives its grace time, with trouble in it',
    fields: outlived,
    disturbances: [unplanned(stoppedAtMs + 1000)],
    found: []
  },
  {
    name: 'a process that outlives its grace time, with trouble of the store in it',
    fields: outlived,
    disturbances: [createDisturbance('unplanned', stoppedAtMs + 1000, stoppedAtMs + 2000)],
    found: ['outlived its grace time']
  },
  {
    name: 'a process that outlives its grace time, as it is stopped by SIGSTOP',
    fields: { ...outlived, signals: [...outlived.signals, { signal: 'SIGSTOP', atMs: stoppedAtMs }] },
    found: []
  },
  {
    name: 'a process that outlives its grace time, after it was stopped by SIGSTOP',
    fields: { ...outlived, signals: [{ signal: 'SIGCONT', atMs: stoppedAtMs - 1 }, ...outlived.signals] },
    found: ['outlived its grace time']
  },
  { name: 'a process that ends by itself', fields: endedItself, found: ['ended by itself'] },
  {
    name: 'a process that ends by itself right after a fault of its machine',
    fields: endedItself,
    disturbances: [{ ...unplanned(stoppedAtMs - 1900), storage: entry }],
    found: []
  },
  {
    name: 'a process that ends by itself long after a fault of its machine',
    fields: endedItself,
    disturbances: [{ ...unplanned(stoppedAtMs - 2100), storage: entry }],
    found: ['ended by itself']
  },
  {
    name: 'a process that ends by itself beside a fault of another machine',
    fields: endedItself,
    disturbances: [{ ...unplanned(stoppedAtMs - 500), storage: otherEntry }],
    found: ['ended by itself']
  },
  {
    name: 'a process that is killed as it uses too much memory',
    fields: { endedAtMs: stoppedAtMs, endSignal: 'SIGKILL', beyondMemoryMb: 360 },
    found: ['beyond its memory']
  },
  {
    name: 'a process that outlives its grace time, with trouble long before',
    fields: outlived,
    disturbances: [unplanned(startedAtMs + 1000)],
    found: ['outlived its grace time']
  }
]

test.each(cases)('$name: found as the platform sees it', ({ fields, disturbances = [], found }) => {
  const observations = createObservations({ attempts: [], disturbances })
  observations.endedAtMs = startedAtMs + 30_000
  observations.lives.push({ ...life, ...fields })
  expect(findLifeViolations(observations).map(({ rule }) => rule)).toEqual(found)
})
