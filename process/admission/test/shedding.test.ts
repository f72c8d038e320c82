import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { Shedding } from '../src/shedding.js'

const targetLatencyMs = 200
let nowMs = 0

beforeEach(() => {
  nowMs = 0
  vi.spyOn(performance, 'now').mockImplementation(() => nowMs)
})

afterEach(() => { vi.restoreAllMocks() })

/// Observes a turn each 20 ms that waits for `waitMs`.
function observe (shedding: Shedding, waitMs: number, durationMs: number): void {
  for (const endMs = nowMs + durationMs; nowMs < endMs;) {
    nowMs += 20
    shedding.observe(waitMs, targetLatencyMs)
  }
}

test('the shed share grows while turns wait for too long, and falls again when they don\'t', () => {
  const shedding = new Shedding()
  observe(shedding, 10, 2000)
  expect(shedding.shedShare).toBe(0)
  observe(shedding, 300, 3000)
  expect(shedding.shedShare).toBeGreaterThan(0.5)
  observe(shedding, 10, 20_000)
  expect(shedding.shedShare).toBe(0)
})

test('two entries that are equally busy shed the same programs, urgent ones less often', () => {
  const [a, b] = [new Shedding(), new Shedding()]
  observe(a, 300, 2000)
  nowMs = 0
  observe(b, 300, 2000)
  const programs = Array.from({ length: 400 }, (_, i) => `p${i}`)
  const shedByA = programs.filter(id => a.isShed(id, 1))
  expect(shedByA).toEqual(programs.filter(id => b.isShed(id, 1)))
  expect(shedByA.length / programs.length).toBeCloseTo(a.shedShare, 1)
  const urgent = programs.filter(id => a.isShed(id, 0))
  expect(urgent.length).toBeLessThan(shedByA.length)
  expect(urgent.every(id => shedByA.includes(id))).toBe(true)
})
