import { setImmediate as nextIteration } from 'node:timers/promises'
import { beforeEach, expect, test, vi } from 'vitest'
import { Refusal, RefusedError } from '#request/call'
import type { Call } from '#request/call'
import { RouteKind } from '#version/configuration'
import type { Route } from '#version/configuration'
import { Admission } from '#process/admission'

interface Options {
  readonly kind?: RouteKind
  readonly programId?: string
  readonly previousTurnId?: string
  readonly priority?: number
  readonly targetLatencyMs?: number
  readonly remainingMs?: number
  readonly isRelayed?: boolean
  /// How long it has waited to be read.
  readonly pastWaitMs?: number
}

let admission: Admission
let backlog: { currentDelayMs: number, meanDelayMs: number }
let started: string[]
let refused: RefusedError[]
let controller: AbortController

beforeEach(() => {
  backlog = { currentDelayMs: 0, meanDelayMs: 0 }
  admission = new Admission(backlog, () => 0)
  started = []
  refused = []
  controller = new AbortController()
})

/// Asks for the start of a call and records the outcome under `id`.
function admit (id: string, options: Options = {}): void {
  const { kind = RouteKind.streaming, programId, previousTurnId = null } = options
  const { priority = 0, targetLatencyMs = 200, remainingMs = 2000, isRelayed = false, pastWaitMs = 0 } = options
  const program = programId === undefined
    ? null
    : { id: programId, sessionId: programId, remainingMs: 5000, tokenBudget: null }
  const call = { id, program, previousTurnId, receivedAtMs: performance.now() - pastWaitMs } as Call
  const route = { kind, priority, targetLatencyMs } as Route
  // Calls that a test leaves in the queue must not be recorded in the next one.
  const [ownStarted, ownRefused] = [started, refused]
  const deadlineMs = performance.now() + remainingMs
  admission.admit({ call, route, priority, workspace: null, deadlineMs, signal: controller.signal, isRelayed })
    .then(() => ownStarted.push(id), (error: RefusedError) => ownRefused.push(error))
}

async function iterate (times: number): Promise<void> {
  for (let i = 0; i < times; i++) await nextIteration()
}

test('one call starts in each iteration of the event loop, in the order of arrival', async () => {
  for (const id of ['a', 'b', 'c', 'd']) admit(id)
  await Promise.resolve()
  expect(started).toEqual(['a'])
  await iterate(2)
  expect(started.length).toBeLessThan(4)
  await iterate(4)
  expect(started).toEqual(['a', 'b', 'c', 'd'])
})

test('tool calls start before turns of running programs, these before new programs, urgent programs before others', async () => {
  admit('first', { programId: 'p0' })
  admit('new', { programId: 'p1', priority: 1 })
  admit('new and urgent', { programId: 'p2', priority: 0 })
  admit('turn', { programId: 'p3', previousTurnId: 't' })
  admit('tool', { programId: 'p4', kind: RouteKind.idempotent })
  admit('known', { programId: 'p0' })
  await iterate(8)
  expect(started).toEqual(['first', 'tool', 'turn', 'known', 'new and urgent', 'new'])
})

// Guards against an entry that stands still for good at the first call of a route with a large number for its priority:
// it made a queue for each number below.
test.each([0.5, 1e6, 1e9, 1e12, Infinity])('calls of the priority %d start, after the urgent ones', async priority => {
  admit('first', { programId: 'p0' })
  admit('last', { programId: 'p1', priority })
  admit('urgent', { programId: 'p2', priority: 0 })
  admit('turn', { programId: 'p3', previousTurnId: 't' })
  await iterate(8)
  const last = priority < 1 ? ['last', 'urgent'] : ['urgent', 'last']
  expect(started).toEqual(['first', 'turn', ...last])
})

// Guards against turns that wait at a busy entry while it accepts connections only to refuse their calls.
test.each([
  ['new programs start in every eighth', null, 2, 4],
  ['turns of running programs in every third', 'previous', 6, 8]
])('while each iteration accepts a connection, %s of them only', async (_, previousTurnId, atLeast, atMost) => {
  admit('first')
  for (let i = 0; i < 10; i++) {
    admit(`call ${i}`, { programId: `p${i}`, ...previousTurnId === null ? {} : { previousTurnId } })
  }
  for (let i = 0; i < 20; i++) {
    admission.countAccepting(performance.now())
    await nextIteration()
  }
  expect(started.length).toBeGreaterThanOrEqual(atLeast)
  expect(started.length).toBeLessThanOrEqual(atMost)
})

// Guards against programs that start late, all of them, since each has waited in the sockets of a busy entry.
test.each([
  ['as others did, a new program is refused', 300, {}, 'refused'],
  ['as others did, a turn that goes on starts', 300, { previousTurnId: 't' }, 'started'],
  ['as after a stall, when others have come for a moment only, a new program starts', 50, {}, 'started'],
  ['when no others come, a new program starts', null, {}, 'started']
])('a call that has waited for longer than its target latency: %s', async (_, acceptingMs, options, outcome) => {
  if (acceptingMs !== null) admission.countAccepting(performance.now() - acceptingMs)
  admit('call', { programId: 'p', targetLatencyMs: 200, pastWaitMs: 250, ...options })
  await iterate(2)
  expect([started.length, refused.length]).toEqual(outcome === 'started' ? [1, 0] : [0, 1])
})

/// Queues calls whose starts take `intervalMs` each, and lets some of them start, so that later ones expect to wait.
async function keepBusy (intervalMs: number): Promise<void> {
  for (let i = 0; i < 60; i++) admit(`busy ${i}`, { kind: RouteKind.idempotent, remainingMs: 100_000 })
  for (let i = 0; i < 20; i++) {
    const startedAtMs = performance.now()
    while (performance.now() - startedAtMs < intervalMs);
    await nextIteration()
  }
}

test('a call that would wait too long is refused at once, a new program first, and is told when to come back', async () => {
  await keepBusy(10)
  admit('tool', { kind: RouteKind.idempotent, programId: 'p1', remainingMs: 5000 })
  admit('new', { programId: 'p2' })
  admit('late tool', { kind: RouteKind.idempotent, programId: 'p3', remainingMs: 100 })
  await Promise.resolve()
  expect(refused.map(error => [error.refusal, error.status])).toEqual([[Refusal.busy, 503], [Refusal.busy, 503]])
  for (const { retryAfterMs } of refused) expect(retryAfterMs).toBeGreaterThan(0)
  await iterate(80)
  expect(started).toContain('tool')
})

test('a new program is refused once it has waited for too long, although the calls before it came later', async () => {
  admit('first')
  admit('new', { programId: 'p1', targetLatencyMs: 40 })
  const startedAtMs = performance.now()
  for (let i = 0; performance.now() - startedAtMs < 60; i++) {
    admit(`tool ${i}`, { kind: RouteKind.idempotent })
    admit(`more ${i}`, { kind: RouteKind.idempotent })
    await nextIteration()
  }
  expect(refused.map(error => error.refusal)).toEqual([Refusal.busy])
  expect(started).not.toContain('new')
})

// Guards against a program that was refused at its start and then counts as one that is running.
test('a program that is refused while it waits for its start is a new program when it comes back', async () => {
  admit('first', { programId: 'p0' })
  admit('waits', { programId: 'p1', priority: 1, targetLatencyMs: 0.01, remainingMs: 5000 })
  await iterate(3)
  expect([started, refused.length]).toEqual([['first'], 1])
  admit('tool', { kind: RouteKind.idempotent })
  admit('comes back', { programId: 'p1', priority: 1 })
  admit('turn', { programId: 'p2', previousTurnId: 't' })
  await iterate(6)
  expect(started).toEqual(['first', 'tool', 'turn', 'comes back'])
})

test('a call whose deadline passed before it was read is refused as not run', async () => {
  admit('late', { remainingMs: -1 })
  await iterate(1)
  expect(refused.map(error => [error.refusal, error.status])).toEqual([[Refusal.timedOut, 503]])
})

test('a call that is aborted while it waits never starts, and the next one takes its place', async () => {
  admit('first')
  admit('aborted')
  controller.abort()
  controller = new AbortController()
  admit('next')
  await iterate(2)
  expect(started).toEqual(['first', 'next'])
  expect(refused.map(error => error.refusal)).toEqual([Refusal.timedOut])
})

test.each([
  ['an event loop on time', 2, []],
  ['an event loop that is a little behind', 25, []],
  ['an event loop that is behind', 60, ['new']],
  ['an event loop that is behind, by more than an idle entry needs with a retry', 80, ['new', 'turn']],
  ['an event loop that is far behind', 400, ['new', 'turn', 'tool']]
])('with %s, those calls are refused that would end too late', async (_, meanDelayMs, expected) => {
  backlog.meanDelayMs = meanDelayMs
  admit('new', { programId: 'p1' })
  admit('turn', { programId: 'p2', previousTurnId: 't' })
  admit('tool', { programId: 'p3', kind: RouteKind.idempotent })
  await iterate(8)
  expect(['new', 'turn', 'tool'].filter(id => !started.includes(id))).toEqual(expected)
})

// Guards against a turn that is refused as busy by one entry after the other while programs start.
test.each([
  ['another entry is known to serve it much sooner', 80, 0.05, false, ['new', 'turn']],
  ['another entry would serve it sooner by less than its target latency', 60, 0.05, false, ['new']],
  ['another entry would serve it about as late, with its retry', 60, 0.6, false, ['new']],
  ['another entry is nearly as busy', 150, 0.8, false, ['new']],
  ['another entry has passed it on', 80, 0.05, true, ['new']],
  ['no other entry would serve it sooner', 60, Infinity, false, ['new']],
  ['no other entry would, and it would end too late', 400, Infinity, false, ['new', 'turn', 'tool']]
])('a turn of a running program that would wait long, while %s', async (_, meanDelayMs, betterShare, isRelayed, expected) => {
  admission = new Admission(backlog, () => betterShare)
  backlog.meanDelayMs = meanDelayMs
  admit('new', { programId: 'p1', isRelayed })
  admit('turn', { programId: 'p2', previousTurnId: 't', isRelayed })
  admit('tool', { programId: 'p3', kind: RouteKind.idempotent, isRelayed })
  await iterate(8)
  expect(['new', 'turn', 'tool'].filter(id => !started.includes(id))).toEqual(expected)
})

// Guards against a refusal of which no line says what the entry knew.
test.each([
  ['for another entry', 0.1, 80, /would wait for 480 ms, another entry serves it in 48 ms$/],
  ['as it would wait too long', Infinity, 400, /would wait for 2400 ms, it may wait for (999|1000) ms$/]
])('a turn that is refused %s: the reason says so', async (_, betterShare, meanDelayMs, expected) => {
  admission = new Admission(backlog, () => betterShare)
  backlog.meanDelayMs = meanDelayMs
  admit('turn', { programId: 'p', previousTurnId: 't' })
  await iterate(1)
  expect(refused.map(({ message }) => message)).toEqual([expect.stringMatching(expected)])
})

// Guards against a turn that is refused, and finds newer ones before it at each retry.
test('a turn that comes back after a refusal starts before those that came meanwhile', async () => {
  backlog.meanDelayMs = 80
  admit('refused', { programId: 'p1', previousTurnId: 't1' })
  backlog.meanDelayMs = 0
  await iterate(1)
  expect(refused.map(error => error.refusal)).toEqual([Refusal.busy])
  admit('first')
  for (const id of ['a', 'b']) admit(id, { programId: `program ${id}`, previousTurnId: 't' })
  admit('comes back', { programId: 'p2', previousTurnId: 't1' })
  await iterate(6)
  expect(started).toEqual(['first', 'comes back', 'a', 'b'])
})

// Guards against calls that all go on from one refused turn, and starve others.
test('of several that go on from a turn that was refused, one has the place of the refused one', async () => {
  backlog.meanDelayMs = 80
  admit('refused', { programId: 'p1', previousTurnId: 't1' })
  backlog.meanDelayMs = 0
  await iterate(1)
  admit('first')
  admit('other', { programId: 'p2', previousTurnId: 't2' })
  for (const id of ['a', 'b', 'c']) admit(id, { programId: 'p1', previousTurnId: 't1' })
  await iterate(6)
  expect(started).toEqual(['first', 'a', 'other', 'b', 'c'])
})

// Guards against a turn that is sent from one entry to the other.
test('a turn that comes back is not refused again for the sake of another entry', async () => {
  backlog.meanDelayMs = 80
  for (let i = 0; i < 2; i++) admit(`try ${i}`, { programId: 'p1', previousTurnId: 't1' })
  await iterate(2)
  expect([started, refused.length]).toEqual([['try 1'], 1])
})

// Guards against a turn that has waited for half of its time and is refused in the moment in which it could start.
test('a turn that has waited for long starts if it can, and is refused if others are before it', async () => {
  admit('first')
  admit('next', { programId: 'p1', previousTurnId: 't', remainingMs: 20 })
  admit('last', { programId: 'p2', previousTurnId: 't', remainingMs: 20 })
  await iterate(1)
  const startedAtMs = performance.now()
  while (performance.now() - startedAtMs < 15);
  await iterate(3)
  expect([started, refused.length]).toEqual([['first', 'next'], 1])
})

// Guards against callers that come back before they can be served, and cost the busy entry a connection each time.
test.each([
  ['a turn, when half of its time is longer than its wait', { previousTurnId: 't' }, 200, Infinity, 400, 562],
  ['a turn, no later than callers wait', { previousTurnId: 't' }, 400, Infinity, 660, 667],
  ['a new program, when it would wait for its latency target', {}, 100, Infinity, 400, 560],
  ['a turn that another entry would serve sooner, soon', { previousTurnId: 't' }, 200, 0.05, 72, 168],
  ['a call that could be served soon, not at once', { previousTurnId: 't' }, 170, Infinity, 72, 168]
])('a refused caller comes back: %s', async (_, options, meanDelayMs, betterShare, atLeastMs, atMostMs) => {
  admission = new Admission(backlog, () => betterShare)
  backlog.meanDelayMs = meanDelayMs
  admit('call', { programId: 'p', ...options })
  await iterate(1)
  const [{ retryAfterMs } = { retryAfterMs: 0 }] = refused
  expect(retryAfterMs).toBeGreaterThanOrEqual(atLeastMs)
  expect(retryAfterMs).toBeLessThanOrEqual(atMostMs)
})

test('while turns wait for too long, new programs are refused by a hash of their ids, the others go on', async () => {
  vi.spyOn(performance, 'now').mockImplementation(() => nowMs)
  let nowMs = 0
  // Its clock must not have begun with the one of the process, which is late on a busy machine.
  admission = new Admission(backlog, () => 0)
  backlog.meanDelayMs = 30
  for (let i = 0; i < 100; i++) {
    nowMs += 20
    admit(`turn ${i}`, { programId: 'running', previousTurnId: 't' })
    await nextIteration()
  }
  expect(refused).toEqual([])
  const ids = Array.from({ length: 100 }, (_, i) => `p${i}`)
  for (const id of ids) {
    admit(id, { programId: id, priority: 1 })
    await nextIteration()
  }
  await iterate(8)
  const served = ids.filter(id => started.includes(id))
  expect(served.length).toBeGreaterThan(10)
  expect(served.length).toBeLessThan(90)
  expect(refused.length).toBe(100 - served.length)
  // A refused program is refused again, a served one goes on.
  const [again, refusedBefore] = [refused.length, ids.filter(id => !served.includes(id))]
  for (const id of refusedBefore) admit(`${id} again`, { programId: id, priority: 1 })
  await iterate(8)
  expect(refused.length).toBe(again + refusedBefore.length)
  vi.restoreAllMocks()
})
